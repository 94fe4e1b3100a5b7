//! Whether what was counted halts a rollout, and whether it lets a stage pass.

use crate::cluster::rollout::{Cell, Rows, Terms, Why};
use crate::cluster::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// A gateway's counts have no say where more than half of both arms end badly there, once it saw so many of each.
const ITSELF: u64 = 20;
/// So many of all seats are heard and go by the stage before it is passed, in parts of a hundred.
const HEARD: usize = 75;
/// Two standard deviations less a bit: a bound that a sound stage misses once in twenty looks.
const BOUND: f64 = 1.645;

/// Whether a gateway is itself the trouble.
fn is_trouble(cells: &BTreeMap<u16, (u64, Cell)>) -> bool {
    let mut sums = [(0, 0); 2];
    for (_, cell) in cells.values() {
        for (arm, sum) in sums.iter_mut().enumerate() {
            let (sent, bad) = cell.judged(arm);
            *sum = (sum.0 + sent, sum.1 + bad);
        }
    }
    sums.iter().all(|(sent, bad)| *sent >= ITSELF && bad * 2 > *sent)
}

/// What the bets of several gateways gained, by seat.
#[derive(Default)]
struct Bets(BTreeMap<u16, [f64; 4]>);

impl Bets {
    fn add(&mut self, seat: u16, gains: [f64; 4]) {
        let sum = self.0.entry(seat).or_default();
        sum.iter_mut().zip(gains).for_each(|(sum, gain)| *sum += gain);
    }
    /// The logarithm of what they gained on average over the tilts, without one seat's.
    fn log_bet(&self, without: Option<u16>) -> f64 {
        let mut sums = [0.0; 4];
        for (_, gains) in self.0.iter().filter(|(seat, _)| Some(**seat) != without) {
            sums.iter_mut().zip(gains).for_each(|(sum, gain)| *sum += gain);
        }
        let most = sums.iter().copied().fold(f64::MIN, f64::max);
        most + (sums.iter().map(|sum| (sum - most).exp()).sum::<f64>() / sums.len() as f64).ln()
    }
    /// The seat that says most for a halt.
    fn loudest(&self) -> Option<u16> {
        let most = |gains: &[f64; 4]| gains.iter().copied().fold(f64::MIN, f64::max);
        self.0.iter().max_by(|a, b| most(a.1).total_cmp(&most(b.1))).map(|(seat, _)| *seat)
    }
}

/// Whether the new arm is worse, by what all gateways counted: over all, in one zone, or in one class. Half of the
/// rate of false halts is spent on the first, a quarter on all zones, a quarter on all classes. The loudest gateway's
/// word is not enough: the others' alone has to pass the bound that one look at all would have.
pub fn halts(rows: &Rows, terms: &Terms) -> Option<Why> {
    let (mut all, mut zones, mut classes) =
        (Bets::default(), BTreeMap::<String, Bets>::new(), BTreeMap::<u16, Bets>::new());
    for (seat, _, heard) in rows.lives().filter(|(_, _, heard)| !is_trouble(&heard.cells)) {
        for (class, (_, cell)) in &heard.cells {
            let gains = cell.gains();
            all.add(seat, gains);
            zones.entry(heard.zone.clone()).or_default().add(seat, gains);
            classes.entry(*class).or_default().add(seat, gains);
        }
    }
    let (in_zones, in_classes) = (0.25 / zones.len().max(1) as f64, 0.25 / classes.len().max(1) as f64);
    let all = [("all".to_string(), all, 0.5)].into_iter();
    let zones = zones.into_iter().map(|(zone, bets)| (zone, bets, in_zones));
    let classes = classes.into_iter().map(|(class, bets)| (format!("class {class}"), bets, in_classes));
    let rest = -terms.false_halts.ln();
    all.chain(zones).chain(classes).find_map(|(place, bets, part)| {
        let (log_bet, log_bound) = (bets.log_bet(None), -(terms.false_halts * part).ln());
        let halts = log_bet >= log_bound && bets.log_bet(bets.loudest()) >= rest;
        halts.then_some(Why::Worse { place, log_bet, log_bound })
    })
}

/// What a stage's leader saw when the stage came into force.
#[derive(Debug, Clone)]
pub struct Open {
    /// When it was in force.
    pub since: Micros,
    /// The counts then.
    before: BTreeMap<(u16, u64, u16), Cell>,
}

impl Open {
    /// The stage is in force now.
    pub fn new(now: Micros, rows: &Rows) -> Open {
        let cells = rows.lives().flat_map(|(seat, life, heard)| {
            heard.cells.iter().map(move |(class, (_, cell))| ((seat, life, *class), cell.clone()))
        });
        Open { since: now, before: cells.collect() }
    }
}

/// Whether enough gateways are heard, all going by this stage, and more than half of each zone's.
pub fn in_force(now: Micros, rows: &Rows, stage: u8, seats: usize) -> bool {
    let fresh = rows.fresh(now);
    let follows = fresh.values().filter(|heard| heard.stage >= stage).count();
    if follows * 100 < seats * HEARD || follows < fresh.len() {
        return false;
    }
    let mut zones: BTreeMap<&str, (BTreeSet<u16>, usize)> = BTreeMap::new();
    for (seat, _, heard) in rows.lives() {
        zones.entry(&heard.zone).or_default().0.insert(seat);
    }
    fresh.values().for_each(|heard| {
        zones.entry(&heard.zone).or_default().1 += 1;
    });
    zones.values().all(|(known, fresh)| fresh * 2 > known.len())
}

/// Whether a stage that is in force may be passed on what was counted since: the new arm was seen often enough, by
/// more than one gateway, and it is sure enough that it is worse by no more than the margin. Unknown is never good.
pub fn passes(now: Micros, rows: &Rows, open: &Open, terms: &Terms) -> bool {
    let fresh = rows.fresh(now);
    let mut classes: BTreeMap<u16, [(f64, f64); 2]> = BTreeMap::new();
    let mut of_seat: BTreeMap<u16, f64> = BTreeMap::new();
    let empty = Cell::default();
    for (seat, life, heard) in rows.lives() {
        if !fresh.contains_key(&seat) || is_trouble(&heard.cells) {
            continue;
        }
        for (class, (_, cell)) in &heard.cells {
            let before = open.before.get(&(seat, life, *class)).unwrap_or(&empty);
            for (arm, sum) in classes.entry(*class).or_default().iter_mut().enumerate() {
                let ((sent, bad), (sent0, bad0)) = (cell.judged(arm), before.judged(arm));
                let (sent, bad) = (sent.saturating_sub(sent0) as f64, bad.saturating_sub(bad0) as f64);
                *sum = (sum.0 + sent, sum.1 + bad);
                *of_seat.entry(seat).or_default() += if arm == 1 { sent } else { 0.0 };
            }
        }
    }
    let seen: f64 = of_seat.values().sum();
    let loudest = of_seat.values().copied().fold(0.0, f64::max);
    if seen < f64::from(terms.least) || (seen - loudest) * 2.0 < f64::from(terms.least) {
        return false;
    }
    let (mut worse, mut variance) = (0.0, 0.0);
    for [old, new] in classes.values().filter(|[_, new]| new.0 > 0.0) {
        if old.0 <= 0.0 {
            return false;
        }
        // One bad end and one good more than were seen: nothing is ever sure.
        let part = |(sent, bad): (f64, f64)| ((bad + 1.0) / (sent + 2.0), sent + 2.0);
        let ((p_old, n_old), (p_new, n_new)) = (part(*old), part(*new));
        let weight = new.0 / seen;
        worse += weight * (p_new - p_old);
        variance += weight * weight * (p_new * (1.0 - p_new) / n_new + p_old * (1.0 - p_old) / n_old);
    }
    worse + BOUND * variance.sqrt() <= terms.margin
}

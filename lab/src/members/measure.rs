//! What membership costs and how fast it is, at several sizes of the fleet, under virtual time.

use super::world::{seconds, Weather, World};
use crate::stats;
use quota_gateway::cluster::{ClusterNotice, MemberState, Micros};
use std::time::Instant;

/// The figures of one size.
#[derive(Debug, Clone)]
pub struct Figures {
    /// Members.
    pub members: usize,
    /// Seconds until a fleet that starts together is one.
    pub formed_s: f64,
    /// Seconds from a death to the first suspicion anywhere: median and 99th percentile over deaths.
    pub first_s: (f64, f64),
    /// Seconds from a death until a member misses the dead (a suspicion counts): 99th percentile over pairs.
    pub missed_s: f64,
    /// Seconds from a death until a member holds it for down: median and 99th percentile over pairs.
    pub known_s: (f64, f64),
    /// Seconds from a heal until all are one again: one for each play.
    pub healed_s: Vec<f64>,
    /// Datagrams and bytes that a member sends in a second of quiet.
    pub quiet: (f64, f64),
    /// Live members held for down, in ten minutes with loss and pauses, and pauses that there were.
    pub false_downs: usize,
    /// Processor time of a member in quiet, as a part of one core, as long as this machine is.
    pub cpu: f64,
}

fn started(members: usize, seed: u64) -> (World, f64) {
    let mut world = World::new(members, seed);
    (0..members).for_each(|i| world.start(i));
    let formed = until_one(&mut world, 120.0);
    world.run_for(seconds(20.0));
    world.notices.clear();
    (world, formed)
}

/// Seconds until all are one; the bound if they are not by then.
fn until_one(world: &mut World, bound: f64) -> f64 {
    let begin = world.now;
    while !world.is_one() {
        if world.now - begin >= seconds(bound) {
            return bound;
        }
        world.run_for(Micros(100_000));
    }
    (world.now - begin).secs()
}

fn sent(world: &World) -> (u64, u64) {
    let traffic = |i: usize| world.fleet(i).map_or((0, 0), |f| (f.traffic().sent, f.traffic().sent_bytes));
    (0..world.count()).map(traffic).fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1))
}

/// Plays one size: `deaths` deaths, `heals` splits of 60 s, and a storm of ten minutes where asked for.
pub fn play(members: usize, seed: u64, deaths: usize, heals: usize, storm: bool) -> Figures {
    let (mut world, formed_s) = started(members, seed);
    let (before, clock) = (sent(&world), Instant::now());
    world.run_for(seconds(60.0));
    let cpu = clock.elapsed().as_secs_f64() / 60.0 / members as f64;
    let after = sent(&world);
    let a_member_a_second = |a: u64, b: u64| (b - a) as f64 / 60.0 / members as f64;
    let quiet = (a_member_a_second(before.0, after.0), a_member_a_second(before.1, after.1));
    let (mut first, mut missed, mut known) = (Vec::new(), Vec::new(), Vec::new());
    for _ in 0..deaths {
        let dead = world.draw(members);
        world.notices.clear();
        let phase = Micros(world.draw(1_000_000) as u64);
        world.run_for(phase);
        let at = world.now;
        world.kill(dead);
        world.run_for(seconds(25.0));
        let name = world.name(dead).to_string();
        let (mut miss, mut down) = (vec![None; members], vec![None; members]);
        for (when, node, notice) in &world.notices {
            let ClusterNotice::MemberStateChanged { name: of, state, .. } = notice else { continue };
            if *of == name && !state.is_present() {
                down[*node] = down[*node].or(Some((*when - at).secs()));
            }
            if *of == name && *state != MemberState::Alive {
                miss[*node] = miss[*node].or(Some((*when - at).secs()));
            }
        }
        let all = |seen: &[Option<f64>]| -> Vec<f64> {
            (0..members).filter(|i| *i != dead).map(|i| seen[i].unwrap_or(25.0)).collect()
        };
        first.push(all(&miss).into_iter().fold(25.0, f64::min));
        missed.extend(all(&miss));
        known.extend(all(&down));
        world.start(dead);
        until_one(&mut world, 60.0);
        world.run_for(seconds(2.0));
    }
    let mut healed_s = Vec::new();
    for _ in 0..heals {
        let half = members / 2;
        world.split(&[(0..half).collect(), (half..members).collect()]);
        world.run_for(seconds(60.0));
        world.heal();
        healed_s.push(until_one(&mut world, 60.0));
        world.run_for(seconds(5.0));
    }
    let false_downs = if storm { storm_of(&mut world, members) } else { 0 };
    let both = |v: &mut Vec<f64>| (stats::quantile(v, 0.5), stats::quantile(v, 0.99));
    Figures {
        members,
        formed_s,
        first_s: both(&mut first),
        missed_s: both(&mut missed).1,
        known_s: both(&mut known),
        healed_s,
        quiet,
        false_downs,
        cpu,
    }
}

/// Ten minutes with 10% loss, and a fifth of the members paused for 1 s every 5 s or so.
fn storm_of(world: &mut World, members: usize) -> usize {
    world.weather = Weather { loss: 0.1, ..world.weather };
    world.notices.clear();
    let slow: Vec<usize> = (0..members.div_ceil(5)).map(|i| i * 5 % members).collect();
    let end = world.now + seconds(600.0);
    let mut due: Vec<(Micros, usize, bool)> =
        slow.iter().map(|&i| (world.now + Micros(world.draw(5_000_000) as u64), i, true)).collect();
    while let Some(next) = (0..due.len()).min_by_key(|&i| due[i].0) {
        let (at, node, on) = due[next];
        if at >= end {
            break;
        }
        world.run_until(at);
        world.pause(node, on);
        let after = if on { 1_000_000 } else { 2_500_000 + world.draw(5_000_000) as u64 };
        due[next] = (at + Micros(after), node, !on);
    }
    slow.iter().for_each(|&i| world.pause(i, false));
    world.run_until(end);
    let down = |n: &&(Micros, usize, ClusterNotice)| matches!(&n.2, ClusterNotice::MemberStateChanged { state, .. } if *state == MemberState::Down);
    let count = world.notices.iter().filter(down).count();
    world.weather = Weather::default();
    count
}

/// One line of the table for each size: medians over plays, or the worst of them where the name says so.
pub fn table(sizes: &[usize], plays: u64, deaths: usize, storm: bool) -> String {
    let head =
        "| members | formed s | first miss s, median / p99 | missed p99 s | known down s, median / p99 \
        | healed s, median / worst | datagrams/s | bytes/s | false downs | core % |\n\
        | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
    let mut text = head.to_string();
    for &size in sizes {
        let all: Vec<Figures> = (1..=plays).map(|seed| play(size, seed, deaths, 1, storm)).collect();
        let median = |f: &dyn Fn(&Figures) -> f64| stats::median(&all.iter().map(f).collect::<Vec<f64>>());
        let worst = |f: &dyn Fn(&Figures) -> f64| all.iter().map(f).fold(0.0, f64::max);
        let healed: Vec<f64> = all.iter().flat_map(|f| f.healed_s.clone()).collect();
        text += &format!(
            "| {size} | {:.1} | {:.1} / {:.1} | {:.1} | {:.1} / {:.1} | {:.1} / {:.1} | {:.1} | {:.0} | {} | {:.3} |\n",
            median(&|f| f.formed_s),
            median(&|f| f.first_s.0),
            worst(&|f| f.first_s.1),
            median(&|f| f.missed_s),
            median(&|f| f.known_s.0),
            median(&|f| f.known_s.1),
            stats::median(&healed),
            stats::spread(&healed).1,
            median(&|f| f.quiet.0),
            median(&|f| f.quiet.1),
            all.iter().map(|f| f.false_downs).sum::<usize>(),
            median(&|f| f.cpu * 100.0),
        );
    }
    text
}

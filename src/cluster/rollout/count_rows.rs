//! What was heard of all gateways' counts: by each life of a gateway its newest, so that loss, doubles, order and
//! late news change nothing.

use crate::cluster::rollout::{Cell, Key};
use crate::cluster::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Older counts say nothing of now: no stage is passed on them. They still speak against a rollout.
pub const FRESH: Micros = Micros(2_000_000);
/// The most lives of one gateway that are remembered in one rollout.
const MOST_LIVES: usize = 16;
/// The most classes in one message.
pub const MOST_CELLS: usize = 5;

/// One gateway's word: what it goes by, and a part of its counts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Of which rollout.
    pub key: Key,
    /// Its process, drawn at its start.
    pub life: u64,
    /// Which word of that process's; rises.
    pub seq: u64,
    /// Its zone.
    pub zone: String,
    /// The stage that it goes by, and whether the rollout has ended there.
    pub stage: u8,
    /// It knows the rollout's end.
    pub ended: bool,
    /// Counts by class, at most `MOST_CELLS` of them.
    pub cells: Vec<(u16, Cell)>,
}

/// One life of a gateway's, as heard.
#[derive(Debug, Clone)]
pub struct Heard {
    /// Its zone.
    pub zone: String,
    seq: u64,
    /// When the newest word came; none where it may have lain somewhere.
    pub at: Option<Micros>,
    /// By that word, the stage that it goes by.
    pub stage: u8,
    /// By that word, it knows the end.
    pub ended: bool,
    /// Counts by class, each with the number of its word.
    pub cells: BTreeMap<u16, (u64, Cell)>,
}

/// All that was heard.
#[derive(Debug, Clone, Default)]
pub struct Rows {
    lives: BTreeMap<(u16, u64), Heard>,
    /// Words that could not be.
    pub refused: u64,
}

impl Rows {
    /// Takes a gateway's word. `prompt`: it was surely not under way for long.
    pub fn hear(&mut self, now: Micros, seat: u16, row: Row, prompt: bool) {
        let sound = row.cells.iter().all(|(class, cell)| {
            *class < crate::cluster::rollout::outcome_counts::MOST_CLASSES && cell.is_sound()
        });
        if !sound || row.cells.len() > MOST_CELLS || row.zone.len() > crate::cluster::MAX_NAME_BYTES {
            self.refused += 1;
            return;
        }
        let lives = self.lives.range((seat, 0)..=(seat, u64::MAX)).count();
        if lives >= MOST_LIVES && !self.lives.contains_key(&(seat, row.life)) {
            self.refused += 1;
            return;
        }
        let heard = self.lives.entry((seat, row.life)).or_insert_with(|| Heard {
            zone: row.zone.clone(),
            seq: 0,
            at: None,
            stage: 0,
            ended: false,
            cells: BTreeMap::new(),
        });
        if row.seq > heard.seq {
            (heard.seq, heard.stage, heard.ended) = (row.seq, row.stage, row.ended);
            heard.at = Some(now).filter(|_| prompt).or(heard.at);
        }
        for (class, cell) in row.cells {
            let held = heard.cells.entry(class).or_default();
            if row.seq > held.0 {
                *held = (row.seq, cell);
            }
        }
    }

    /// All lives, by seat.
    pub fn lives(&self) -> impl Iterator<Item = (u16, u64, &Heard)> {
        self.lives.iter().map(|((seat, life), heard)| (*seat, *life, heard))
    }

    /// The seats whose newest word is fresh, each with its zone, stage and whether it knows the end.
    pub fn fresh(&self, now: Micros) -> BTreeMap<u16, &Heard> {
        let mut fresh: BTreeMap<u16, &Heard> = BTreeMap::new();
        for ((seat, _), heard) in &self.lives {
            let Some(at) = heard.at.filter(|at| now - *at <= FRESH) else { continue };
            let held = fresh.entry(*seat).or_insert(heard);
            if held.at < Some(at) {
                *held = heard;
            }
        }
        fresh
    }
}

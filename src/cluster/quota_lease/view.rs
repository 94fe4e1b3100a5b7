//! What one member says of every seat of the fleet: whose it is, that it is free, or neither for now.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The most seats whose shares can follow the living: a view and a table fit into one datagram.
pub const MAX_SEATS: usize = 300;

/// What a member says of a seat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Say {
    /// Nothing: neither that it is held nor that it is free.
    Nothing,
    /// The share is that of the life with this tag.
    Held(u8),
    /// Nobody uses the share, and others may.
    Free,
}

/// The tag of a life: enough to tell a process from the one before it.
pub fn life(incarnation: u64) -> u8 {
    (xxh3_64(&incarnation.to_le_bytes()) as u8) >> 2
}

impl Say {
    fn byte(self) -> u8 {
        match self {
            Say::Nothing => 0,
            Say::Free => 1,
            Say::Held(life) => 2 | life << 2,
        }
    }
    fn of(byte: u8) -> Say {
        match byte & 3 {
            1 => Say::Free,
            2 => Say::Held(byte >> 2),
            _ => Say::Nothing,
        }
    }
}

/// A numbered view: one byte for each seat.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Rises with each change; a member never says two different things by one number.
    pub number: u64,
    bytes: Vec<u8>,
}

impl View {
    /// A view of so many seats that says nothing.
    pub fn silent(seats: usize) -> View {
        View { number: 0, bytes: vec![0; seats] }
    }
    /// How many seats it speaks of.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }
    /// What it says of a seat.
    pub fn say(&self, seat: usize) -> Say {
        self.bytes.get(seat).map_or(Say::Nothing, |byte| Say::of(*byte))
    }
    /// Says something else of a seat; returns whether that is a change.
    pub fn set(&mut self, seat: usize, say: Say) -> bool {
        match self.bytes.get_mut(seat) {
            Some(byte) if *byte != say.byte() => {
                *byte = say.byte();
                true
            }
            _ => false,
        }
    }
    /// Whether both say the same of every seat.
    pub fn same(&self, other: &View) -> bool {
        self.bytes == other.bytes
    }
    /// Number and content in short.
    pub fn digest(&self) -> u64 {
        xxh3_64(&[&self.number.to_le_bytes()[..], &self.bytes].concat())
    }
    /// How many seats are held.
    pub fn held(&self) -> usize {
        self.bytes.iter().filter(|b| matches!(Say::of(**b), Say::Held(_))).count()
    }
}

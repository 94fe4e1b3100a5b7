//! What one member states of every seat of the cluster: who holds it, that it is free, or neither for now.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The most seats whose quota shares can be leased: a table and two views fit into one datagram.
pub const MAX_SEATS: usize = 300;

/// The bits of a statement's byte that tell its kind; the others hold the incarnation's tag.
const KIND_BITS: u8 = 2;
const KIND_MASK: u8 = (1 << KIND_BITS) - 1;
const KIND_NONE: u8 = 0;
const KIND_FREE: u8 = 1;
const KIND_HELD: u8 = 2;

/// Six bits that tell one process in a seat from the one before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IncarnationTag(u8);

impl IncarnationTag {
    /// The tag of an incarnation. One pair in 64 has the same.
    pub fn of(incarnation: u64) -> IncarnationTag {
        IncarnationTag((xxh3_64(&incarnation.to_le_bytes()) as u8) >> KIND_BITS)
    }
}

/// What a member states of a seat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SeatStatement {
    /// Neither that it is held nor that it is free.
    None,
    /// The seat's quota share belongs to this incarnation of its gateway.
    Held(IncarnationTag),
    /// Nobody uses the seat's share, and others may.
    Free,
}

impl SeatStatement {
    fn to_byte(self) -> u8 {
        match self {
            SeatStatement::None => KIND_NONE,
            SeatStatement::Free => KIND_FREE,
            SeatStatement::Held(IncarnationTag(tag)) => KIND_HELD | tag << KIND_BITS,
        }
    }

    fn from_byte(byte: u8) -> SeatStatement {
        match byte & KIND_MASK {
            KIND_FREE => SeatStatement::Free,
            KIND_HELD => SeatStatement::Held(IncarnationTag(byte >> KIND_BITS)),
            _ => SeatStatement::None,
        }
    }
}

/// A numbered view: one statement for each seat. The order of the fields, and the bytes, are the wire form.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Rises with each change; a member never states two different things by one number.
    pub number: u64,
    statements: Vec<u8>,
}

impl View {
    /// A view of this many seats that states nothing.
    pub fn empty(seats: usize) -> View {
        View { number: 0, statements: vec![KIND_NONE; seats] }
    }

    /// How many seats it speaks of.
    pub fn seats(&self) -> usize {
        self.statements.len()
    }

    /// What it states of a seat.
    pub fn statement(&self, seat: usize) -> SeatStatement {
        self.statements.get(seat).map_or(SeatStatement::None, |byte| SeatStatement::from_byte(*byte))
    }

    /// States something of a seat; returns whether that is a change.
    pub fn set(&mut self, seat: usize, statement: SeatStatement) -> bool {
        match self.statements.get_mut(seat) {
            Some(byte) if *byte != statement.to_byte() => {
                *byte = statement.to_byte();
                true
            }
            _ => false,
        }
    }

    /// Whether both state the same of every seat, by whatever number.
    pub fn has_same_statements(&self, other: &View) -> bool {
        self.statements == other.statements
    }

    /// A digest of number and statements.
    pub fn digest(&self) -> u64 {
        xxh3_64(&[&self.number.to_le_bytes()[..], &self.statements].concat())
    }

    /// How many seats are held.
    pub fn held_seats(&self) -> usize {
        let is_held = |byte: &&u8| matches!(SeatStatement::from_byte(**byte), SeatStatement::Held(_));
        self.statements.iter().filter(is_held).count()
    }
}

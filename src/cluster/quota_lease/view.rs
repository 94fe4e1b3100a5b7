//! View: the statements of one member on all seats of the cluster. A seat is held, free, or neither for now.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of seats whose quota shares can be leased, so that a table with two views fits into one datagram.
pub const MAX_SEATS: usize = 300;

/// Number of low bits of a statement's byte that encode its kind; the others hold the incarnation's tag.
const KIND_BITS: u8 = 2;
const KIND_MASK: u8 = (1 << KIND_BITS) - 1;
const KIND_NONE: u8 = 0;
const KIND_FREE: u8 = 1;
const KIND_HELD: u8 = 2;

/// Six-bit tag that distinguishes a process in a seat from the previous one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IncarnationTag(u8);

impl IncarnationTag {
    /// Returns the tag of an incarnation. One pair of incarnations in 64 has the same tag.
    pub fn from_incarnation(incarnation: u64) -> IncarnationTag {
        IncarnationTag((xxh3_64(&incarnation.to_le_bytes()) as u8) >> KIND_BITS)
    }
}

/// Statement of a member on a seat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SeatStatement {
    /// No statement: neither held nor free.
    None,
    /// This incarnation of the seat's gateway may use the seat's quota share.
    Held(IncarnationTag),
    /// The seat's gateway does not use the seat's quota share, and others may.
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

/// A numbered view with one statement for each seat. The order of the fields, and the bytes, are the wire form.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Number that increases with each change; a member never uses one number for two different views.
    pub number: u64,
    statements: Vec<u8>,
}

impl View {
    /// Creates a view without statements.
    pub fn empty(seats: usize) -> View {
        View { number: 0, statements: vec![KIND_NONE; seats] }
    }

    /// Number of seats in the view.
    pub fn seats(&self) -> usize {
        self.statements.len()
    }

    /// Returns the statement on a seat.
    pub fn statement(&self, seat: usize) -> SeatStatement {
        self.statements.get(seat).map_or(SeatStatement::None, |byte| SeatStatement::from_byte(*byte))
    }

    /// Sets the statement on a seat; returns whether it changed.
    pub fn set(&mut self, seat: usize, statement: SeatStatement) -> bool {
        match self.statements.get_mut(seat) {
            Some(byte) if *byte != statement.to_byte() => {
                *byte = statement.to_byte();
                true
            }
            _ => false,
        }
    }

    /// Whether both views have the same statements, regardless of their numbers.
    pub fn has_same_statements(&self, other: &View) -> bool {
        self.statements == other.statements
    }

    /// Digest of the number and the statements.
    pub fn digest(&self) -> u64 {
        xxh3_64(&[&self.number.to_le_bytes()[..], &self.statements].concat())
    }

    /// Number of held seats.
    pub fn held_seats(&self) -> usize {
        let is_held = |byte: &&u8| matches!(SeatStatement::from_byte(**byte), SeatStatement::Held(_));
        self.statements.iter().filter(is_held).count()
    }
}

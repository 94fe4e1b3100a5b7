//! Statements of members with their ages, and the replies that spread them.

use crate::VALIDITY_TICKS;

/// A statement with its age in ticks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Dated<T> {
    pub value: T,
    pub age: u8,
}

impl<T> Dated<T> {
    /// A statement made in the current tick.
    pub fn new(value: T) -> Dated<T> {
        Dated { value, age: 0 }
    }

    /// Returns the statement one tick later, or `None` once it is no longer valid.
    fn aged(self) -> Option<Dated<T>> {
        (self.age < VALIDITY_TICKS).then_some(Dated { age: self.age + 1, ..self })
    }
}

/// Statements known to a member, indexed by the member that made them.
pub type Known<T> = Vec<Option<Dated<T>>>;

/// Ages all known statements by one tick and drops the invalid ones.
pub fn age_all<T: Copy>(known: &mut Known<T>) {
    for statement in known {
        *statement = statement.and_then(Dated::aged);
    }
}

/// A reply in transit.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Reply<T> {
    pub to: usize,
    pub known: Known<T>,
}

impl<T: Copy> Reply<T> {
    /// Merges the reply into the receiver's known statements: the more recent statement of each other member
    /// wins. The receiver's own statement is never replaced.
    pub fn merge_into(self, known: &mut Known<T>) {
        for (seat, received) in self.known.into_iter().enumerate() {
            if seat == self.to {
                continue;
            }
            let is_more_recent = |known: Dated<T>| received.is_some_and(|received| received.age < known.age);
            if known[seat].is_none_or(is_more_recent) {
                known[seat] = received;
            }
        }
    }
}

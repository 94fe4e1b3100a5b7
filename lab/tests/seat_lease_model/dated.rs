//! What members know of each other's statements, with their ages, as it spreads in replies.

use crate::VALIDITY_TICKS;

/// A statement, and its age in ticks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Dated<T> {
    pub value: T,
    pub age: u8,
}

impl<T> Dated<T> {
    /// A statement that is made now.
    pub fn new(value: T) -> Dated<T> {
        Dated { value, age: 0 }
    }

    /// The statement a tick later; none where it counts no more.
    fn aged(self) -> Option<Dated<T>> {
        (self.age < VALIDITY_TICKS).then_some(Dated { age: self.age + 1, ..self })
    }
}

/// The statements that a member knows, by member.
pub type Known<T> = Vec<Option<Dated<T>>>;

/// A tick passes for all of them.
pub fn age_all<T: Copy>(known: &mut Known<T>) {
    for dated in known {
        *dated = dated.and_then(Dated::aged);
    }
}

/// A reply under way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Reply<T> {
    pub to: usize,
    pub known: Known<T>,
}

impl<T: Copy> Reply<T> {
    /// The receiver takes the statements that are younger than those that it knows, but for its own.
    pub fn merge_into(self, known: &mut Known<T>) {
        for (seat, received) in self.known.into_iter().enumerate() {
            if seat == self.to {
                continue;
            }
            let is_younger = |known: Dated<T>| received.is_some_and(|received| received.age < known.age);
            if known[seat].is_none_or(is_younger) {
                known[seat] = received;
            }
        }
    }
}

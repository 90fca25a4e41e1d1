//! Revisions of the store, which go back when it returns from an older copy.
//!
//! The store counts its eras, one for each such return, and gives revisions out again in each. What
//! is known of it is ordered by the era first.

use std::fmt;

/// Bits of the number within an era. A number and the first thousands of eras together stay within what
/// a reader of JSON keeps exactly.
const NUMBER_BITS: u32 = 40;

/// A revision of the store in one of its eras; the default comes before all others.
///
/// Instances send it to each other as one number, which is that of the store while it has no eras.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    serde::Deserialize,
    serde::Serialize,
)]
#[serde(transparent)]
pub struct Revision(u64);

impl Revision {
    /// Before anything has been read.
    pub const NONE: Self = Self(0);

    /// Builds the revision with a number that the store has given out in an era; `None` if either is too
    /// large.
    pub const fn new(era: u64, number: u64) -> Option<Self> {
        let is_valid = number >> NUMBER_BITS == 0 && era >> (u64::BITS - NUMBER_BITS) == 0;
        match is_valid {
            true => Some(Self((era << NUMBER_BITS) + number)),
            false => None,
        }
    }

    /// Builds a revision from the number that stands for it.
    pub const fn from_packed(packed: u64) -> Self {
        Self(packed)
    }

    /// Returns one number that stands for the revision; those of a later era are higher.
    pub const fn packed(self) -> u64 {
        self.0
    }

    /// Returns the era.
    pub const fn era(self) -> u64 {
        self.0 >> NUMBER_BITS
    }

    /// Returns the number that the store has given out.
    pub const fn number(self) -> u64 {
        self.0 & ((1 << NUMBER_BITS) - 1)
    }

    /// Returns `true` if nothing has been read.
    pub const fn is_none(self) -> bool {
        self.0 == 0
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era() {
            0 => write!(f, "{}", self.0),
            era => write!(f, "{era}:{}", self.number()),
        }
    }
}

//! Faults found in a declaration.

use std::error;
use std::fmt;

use crate::declaration::place;
use crate::declaration::problem;

/// A problem in a declaration with its location.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// File and line.
    pub place: place::Place,
    /// What is wrong and how to correct it.
    pub problem: problem::Problem,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.problem)
    }
}

impl error::Error for Fault {}

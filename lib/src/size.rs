//! Sizes and rates.

use derive_more::{Add, AddAssign, Display, From, FromStr, Sum};
use serde::{Deserialize, Serialize};

/// A number of tokens.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    Default,
    From,
    FromStr,
    Add,
    AddAssign,
    Sum,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{_0} tokens")]
#[serde(transparent)]
pub struct Tokens(pub u64);

impl Tokens {
    /// Subtracts, saturating at zero.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

/// A number of bytes.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    Default,
    From,
    FromStr,
    Add,
    AddAssign,
    Sum,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{_0} bytes")]
#[serde(transparent)]
pub struct Bytes(pub u64);

impl Bytes {
    /// Subtracts, saturating at zero.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl From<usize> for Bytes {
    fn from(bytes: usize) -> Self {
        Self(u64::try_from(bytes).unwrap_or(u64::MAX))
    }
}

/// A rate in tokens per second.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    Default,
    From,
    FromStr,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[display("{_0} tokens/s")]
#[serde(transparent)]
pub struct Rate(pub f64);

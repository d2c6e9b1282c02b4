//! Eras and revisions of a key-value service.
//!
//! A service that is restored from a copy begins another era: it gives revisions out again
//! that it had given out after the copy was taken.

use std::{cmp::Ordering, fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};

/// An era of a key-value service; a later one is greater. The default is that of a service
/// that announces none.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Era {
    /// Number that the service announces; zero if it announces none.
    pub announced: u64,
    /// Number of times that its revision fell while it announced this number.
    #[serde(default)]
    pub falls: u32,
}

impl Era {
    /// Returns whether nothing is known of the era.
    #[must_use]
    pub fn is_unknown(&self) -> bool {
        *self == Self::default()
    }

    /// Returns the era that begins as the revision falls.
    #[must_use]
    pub fn after_fall(self) -> Self {
        Self {
            falls: self.falls.saturating_add(1),
            ..self
        }
    }
}

impl From<u64> for Era {
    fn from(announced: u64) -> Self {
        Self {
            announced,
            falls: 0,
        }
    }
}

/// Displays the announced number, and the number of falls if there were any: `3` or `3+1`.
impl fmt::Display for Era {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.falls {
            0 => write!(formatter, "{}", self.announced),
            falls => write!(formatter, "{}+{falls}", self.announced),
        }
    }
}

impl FromStr for Era {
    type Err = ParseIntError;

    /// Parses what [`fmt::Display`] writes.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (announced, falls) = match text.split_once('+') {
            Some((announced, falls)) => (announced, falls.parse()?),
            None => (text, 0),
        };
        Ok(Self {
            announced: announced.parse()?,
            falls,
        })
    }
}

/// Revision of a key-value service. Revisions of different eras have no order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Revision {
    /// Era in which it was given out.
    pub era: Era,
    /// Its number, which each change raises.
    pub number: i64,
}

impl Revision {
    /// Returns whether what was read at this revision is more recent than what was read at
    /// another one: in a later era, or later in the same era.
    #[must_use]
    pub fn is_after(&self, other: &Self) -> bool {
        (self.era, self.number) > (other.era, other.number)
    }

    /// Returns whether what is shown at this revision may come from a copy that was taken
    /// before another revision was given out in a former era. What is written after the
    /// restoration has a higher revision than the copy.
    #[must_use]
    pub fn may_be_of_copy(&self, other: &Self) -> bool {
        self.era > other.era && self.number <= other.number
    }
}

impl From<i64> for Revision {
    /// Returns a revision of a service that announces no era.
    fn from(number: i64) -> Self {
        Self {
            era: Era::default(),
            number,
        }
    }
}

impl PartialOrd for Revision {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        (self.era == other.era).then(|| self.number.cmp(&other.number))
    }
}

/// Displays the number and the era: `40 of era 3`.
impl fmt::Display for Revision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} of era {}", self.number, self.era)
    }
}

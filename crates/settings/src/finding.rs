//! Findings: everything that is wrong in a file, each with its place.

use std::fmt::{self, Display, Formatter};

/// Names that are further away than this are not offered as a correction.
const FURTHEST_SUGGESTION: usize = 4;

/// One thing that is wrong in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The file, as the operator named it.
    pub file: String,
    /// Line, counted from 1.
    pub line: usize,
    /// Column, counted from 1.
    pub column: usize,
    /// Path of the value in the file, as `aotearoa.pools.renders.vms`; empty for the whole file.
    pub path: String,
    /// What is wrong and what would be right.
    pub message: String,
}

impl Display for Finding {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}: ", self.file, self.line, self.column)?;
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        write!(f, "{}", self.message)
    }
}

/// All findings of one file; never empty when it is returned as an error.
#[derive(Clone, Debug, Default, PartialEq, Eq, thiserror::Error)]
pub struct Findings(pub Vec<Finding>);

impl Display for Findings {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

/// Returns the name in `known` that is nearest to `wrong`, if one is near.
pub fn nearest<'a>(wrong: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    known
        .into_iter()
        .map(|name| (strsim::damerau_levenshtein(wrong, name), name))
        .filter(|(distance, name)| *distance <= FURTHEST_SUGGESTION.min(name.len() / 2 + 1))
        .min()
        .map(|(_, name)| name)
}

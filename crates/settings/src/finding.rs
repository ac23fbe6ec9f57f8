//! Findings: everything that is wrong in a file, each with its position.

use std::fmt::{self, Display, Formatter};

/// Maximum edit distance of a name that is suggested as a correction.
const MAX_SUGGESTION_DISTANCE: usize = 4;

/// Error in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Name of the file, as the operator gave it.
    pub file: String,
    /// Line, counted from 1.
    pub line: usize,
    /// Column, counted from 1.
    pub column: usize,
    /// Path of the value in the file, such as `aotearoa.pools.renders.vms`; empty for the whole file.
    pub path: String,
    /// Description of what is wrong and what would be right.
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

/// All findings of one file. It is never empty when it is returned as an error.
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

/// Returns the name in `known` that is most similar to `wrong`, if one is similar enough.
pub fn nearest<'a>(wrong: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    known
        .into_iter()
        .map(|name| (strsim::damerau_levenshtein(wrong, name), name))
        .filter(|(distance, name)| *distance <= MAX_SUGGESTION_DISTANCE.min(name.len() / 2 + 1))
        .min()
        .map(|(_, name)| name)
}

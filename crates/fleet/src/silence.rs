//! Whether a service that all entries use is away for all, by what some of them tell.

/// What an entry tells of the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hearing {
    /// The entry's data centre.
    pub hall: String,
    /// Whether the service does not answer it.
    pub silent: bool,
}

/// Whether the service is away for all: an entry of another data centre than `own` says that it does not
/// answer, and none says that it does. Entries of the own data centre may be cut off together.
pub fn is_away(own: &str, told: &[Hearing]) -> bool {
    let all = told.iter().all(|hearing| hearing.silent);
    all && told.iter().any(|hearing| hearing.hall != own)
}

//! Whether a service that all entries use is away for all, by what some of them tell.

/// What an entry tells of the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceReport {
    /// The entry's data centre.
    pub hall: String,
    /// Whether the service does not answer it.
    pub silent: bool,
}

/// Whether the service is away for all: of the entries that were `asked`, more than half say that it does not
/// answer, one of them in another data centre than `own`, and none says that it does. Entries of the own data
/// centre may be cut off together, and so may some of several: those that are not do not answer either.
pub fn is_unavailable(own: &str, told: &[ServiceReport], asked: usize) -> bool {
    let all = told.iter().all(|hearing| hearing.silent);
    let most = told.len() * 2 > asked;
    all && most && told.iter().any(|hearing| hearing.hall != own)
}

/// Whether the service answers others and not this entry: a third of the entries that told, or more, say that it does. Not
/// most of them: those that an entry knows may be cut off from the service together with it, and a single one may have had
/// a quick answer of a slow service.
pub fn is_isolated(told: &[ServiceReport]) -> bool {
    let answered = told.iter().filter(|hearing| !hearing.silent).count();
    answered > 0 && answered * 3 >= told.len()
}

//! Whether a service that all entries use is unavailable for all of them, according to reports of some
//! entries.

/// An entry's report on whether the service responds to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceReport {
    /// The entry's data centre.
    pub hall: String,
    /// Whether the service does not respond to the entry.
    pub silent: bool,
}

/// Returns whether the service is unavailable for all entries: of the `asked` entries, more than half
/// report that it does not respond, at least one of them in another data centre than `own`, and none
/// reports that it does. Entries of this data centre may be cut off together, and so may those of several
/// data centres; in that case, the entries that are not cut off do not reply to the request for a report.
pub fn is_unavailable(own: &str, reports: &[ServiceReport], asked: usize) -> bool {
    let all_silent = reports.iter().all(|report| report.silent);
    let majority = reports.len() * 2 > asked;
    all_silent && majority && reports.iter().any(|report| report.hall != own)
}

/// Returns whether the service responds to other entries but not to this one: at least a third of the
/// reports say that it responds. A majority is not required, because the known entries may be cut off from
/// the service together with this one. A single report is not enough, because one entry may have received a
/// quick response from a slow service.
pub fn is_isolated(reports: &[ServiceReport]) -> bool {
    let answered = reports.iter().filter(|report| !report.silent).count();
    answered > 0 && answered * 3 >= reports.len()
}

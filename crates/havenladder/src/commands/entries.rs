//! `entries`: shows the entries and how far each one has applied the log.

use super::{CommandError, GlobalOptions, table};
use crate::operate::MemberReply;

/// Lists the entries.
pub fn entries(options: &GlobalOptions<'_>) -> Result<(), CommandError> {
    let members: Vec<MemberReply> = options.client()?.get("/members")?;
    options.print(&members, |members| {
        let mut table = table::table(&["ENTRY", "HALL", "NEXT OFFSET", "LOG"]);
        for member in members {
            let next = member.next.map(|next| next.to_string());
            let log = if member.platform {
                "reached"
            } else {
                "not reached"
            };
            table.add_row([
                member.entry.clone(),
                member.hall.clone(),
                next.unwrap_or_else(|| "does not answer".into()),
                log.to_owned(),
            ]);
        }
        table::print(&table, "no entries");
    });
    Ok(())
}

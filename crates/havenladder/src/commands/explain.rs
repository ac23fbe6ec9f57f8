//! `explain`: explains the state of a VM, level or request.

use super::{CommandError, GlobalOptions, table};
use crate::operate::Explanation;

/// Prints the entry's explanation of `subject`.
pub fn explain(options: &GlobalOptions<'_>, subject: &str) -> Result<(), CommandError> {
    let path = format!("/explain?subject={subject}");
    let explanation: Explanation = options.client()?.get(&path)?;
    options.print(&explanation, |explanation| {
        println!("{}", explanation.subject);
        for line in &explanation.lines {
            println!("  {line}");
        }
        if explanation.sources.is_empty() {
            return;
        }
        let mut table = table::table(&["KEY", "VALUE", "SET AT"]);
        for source in &explanation.sources {
            table.add_row([
                source.key.name().to_owned(),
                source.value.to_string(),
                source.level.clone().unwrap_or_else(|| "default".into()),
            ]);
        }
        println!("{table}");
    });
    Ok(())
}

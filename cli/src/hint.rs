//! Hints and exit codes of errors.

use dottereltally_lib::{fault, id};
use dottereltally_store::{host, kv, layout::Audit, proposal};

use crate::command::Code;

/// Prints an error, its causes and a hint, and returns its exit code.
pub fn print_error(report: &eyre::Report) -> Code {
    eprintln!("error: {report}");
    for cause in report.chain().skip(1) {
        eprintln!("cause: {cause}");
    }
    let code = code(report);
    if let Some(hint) = hint(report, code) {
        eprintln!("hint: {hint}");
    }
    code
}

fn code(report: &eyre::Report) -> Code {
    if report.is::<fault::List>() {
        return Code::BadInput;
    }
    if report.is::<kv::Error>() || report.is::<host::Error>() {
        return Code::PlatformUnreachable;
    }
    match report.downcast_ref::<proposal::Error>() {
        Some(proposal::Error::Conflict { .. }) => Code::Conflict,
        Some(proposal::Error::Platform(_) | proposal::Error::Indeterminate(..)) => {
            Code::PlatformUnreachable
        }
        Some(proposal::Error::Text(_)) => Code::BadInput,
        _ => Code::Failed,
    }
}

fn hint(report: &eyre::Report, code: Code) -> Option<String> {
    if let Some(proposal::Error::Conflict { base, since, .. }) = report.downcast_ref() {
        return Some(conflict_hint(*base, since));
    }
    match code {
        Code::PlatformUnreachable => Some(
            "check --kv and --hosts, then the service itself; meanwhile nodes keep the configuration that they have"
                .to_owned(),
        ),
        _ => None,
    }
}

fn conflict_hint(base: id::Generation, since: &[Audit]) -> String {
    let mut lines = vec![format!("changes since generation {base}:")];
    for audit in since {
        let Audit {
            generation, author, ..
        } = audit;
        for change in &audit.changes {
            lines.push(format!("  generation {generation} by {author}: {change}"));
        }
    }
    lines.push("save the text in force with `dottereltallyctl show > NEW`, repeat your edit in NEW, and apply it".to_owned());
    lines.join("\n")
}

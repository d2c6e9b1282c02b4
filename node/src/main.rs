//! The daemon's entry point.

use std::{
    env,
    path::{Path, PathBuf},
    process::ExitCode,
};

use argh::FromArgs;
use dottereltally::{
    node,
    settings::{self, Format, Log, Settings, wire},
};
use eyre::WrapErr;
use tracing_subscriber::filter::LevelFilter;

/// Exit code for invalid settings.
const INVALID_SETTINGS: u8 = 2;

/// Schedules requests onto the endpoints of the operators' services.
#[derive(FromArgs)]
struct Arguments {
    /// settings file, YAML
    #[argh(option)]
    settings: PathBuf,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let Some(settings) = read_settings(&arguments.settings) else {
        return ExitCode::from(INVALID_SETTINGS);
    };
    if arguments.check {
        return ExitCode::SUCCESS;
    }
    match start(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:?}");
            ExitCode::FAILURE
        }
    }
}

/// Reads the settings; prints every fault if they are invalid.
fn read_settings(path: &Path) -> Option<Settings> {
    let parse = |content: &str| wire::parse(path, content, &|name| env::var(name).ok());
    match settings::read(path, parse) {
        Ok(settings) => Some(settings),
        Err(faults) => {
            for fault in faults {
                eprintln!("{fault}");
            }
            None
        }
    }
}

fn start(settings: Settings) -> eyre::Result<()> {
    color_eyre::install()?;
    init_log(settings.log)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .wrap_err("the runtime can't be started; check the host's limits")?;
    runtime.block_on(node::run(settings))
}

/// Sends log lines to standard error; standard output carries only the line that
/// announces that the node listens.
fn init_log(log: Log) -> eyre::Result<()> {
    let builder = tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_max_level(LevelFilter::from_level(log.level));
    match log.format {
        Format::Json => builder.json().try_init(),
        Format::Text => builder.try_init(),
    }
    .map_err(|error| eyre::eyre!("the log can't be set up: {error}"))
}

//! The settings as written in YAML, and their validation.

use std::path::Path;

use dottereltally_lib::{
    fields::Reader,
    id,
    tree::{Item, Node},
};
use serde::Deserialize;
use serde_saphyr::Spanned;

use super::{
    Format, Limits, Listen, Log, Platform, Settings, Shutdown,
    check::{Check, Scalar, Source, line_of, overridden},
};

pub use super::check::Fault;

/// Fields of each section of the settings.
const SECTIONS: [(&str, &[&str]); 5] = [
    ("listen", &["callers", "peers", "operations"]),
    ("platform", &["kv", "hosts", "timeout"]),
    (
        "limits",
        &["head", "body", "head_timeout", "body_timeout", "inactivity"],
    ),
    ("shutdown", &["notice", "grace"]),
    ("log", &["format", "level"]),
];

/// Top-level fields that are not sections.
const TOP_LEVEL_FIELDS: [&str; 2] = ["node", "data_centre"];

/// Smallest limit on a request's head that the HTTP library supports, bytes.
const MIN_HEAD_BYTES: usize = 8 * 1024;

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct WireSettings {
    node: Scalar,
    data_centre: Scalar,
    listen: WireListen,
    platform: WirePlatform,
    limits: WireLimits,
    shutdown: WireShutdown,
    log: WireLog,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct WireListen {
    callers: Scalar,
    peers: Scalar,
    operations: Scalar,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct WirePlatform {
    kv: Option<Vec<Spanned<String>>>,
    hosts: Scalar,
    timeout: Scalar,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct WireLimits {
    head: Scalar,
    body: Scalar,
    head_timeout: Scalar,
    body_timeout: Scalar,
    inactivity: Scalar,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct WireShutdown {
    notice: Scalar,
    grace: Scalar,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct WireLog {
    format: Scalar,
    level: Scalar,
}

/// Looks up an environment variable.
pub type Environment<'a> = &'a dyn Fn(&str) -> Option<String>;

/// Parses and validates a settings file.
///
/// # Errors
///
/// Fails with all faults that were found: unknown fields first, then the others
/// in the order of the sections.
pub fn parse(
    path: &Path,
    content: &str,
    environment: Environment<'_>,
) -> Result<Settings, Vec<Fault>> {
    let file = path.display().to_string();
    let mut check = Check {
        file,
        faults: Vec::new(),
    };
    check.unknown_fields(content);
    let wire: WireSettings = match serde_saphyr::from_str(content) {
        Ok(wire) => wire,
        Err(error) => {
            let line = error.location().map(|location| location.line());
            let message = format!(
                "{}; see docs/configuration.md for the fields",
                first_line(&error)
            );
            check.fault(line, message);
            return Err(check.faults);
        }
    };
    let settings = check.settings(wire, environment);
    if check.faults.is_empty() {
        Ok(settings)
    } else {
        Err(check.faults)
    }
}

/// Returns the first line of the message, without the library's excerpt of the
/// file.
fn first_line(error: &serde_saphyr::Error) -> String {
    let message = error.without_snippet().to_string();
    message.lines().next().unwrap_or_default().to_owned()
}

impl Check {
    /// Records a fault for every unknown field. A document that is not YAML is
    /// skipped, as deserialization reports it.
    fn unknown_fields(&mut self, content: &str) {
        let Ok(document) = Node::parse(content) else {
            return;
        };
        let mut reader = Reader::default();
        let mut known = TOP_LEVEL_FIELDS.to_vec();
        known.extend(SECTIONS.iter().map(|(name, _)| *name));
        let top = reader.fields(&document, "", &known);
        for (name, fields) in SECTIONS {
            // Deserialization reports a section that is not a mapping.
            if let Some(section) = reader.optional(&top, name)
                && matches!(section.item, Item::Map(_))
            {
                reader.fields(section, name, fields);
            }
        }
        let Err(list) = reader.finish(()) else {
            return;
        };
        for fault in list.0 {
            self.fault(
                Some(fault.line),
                format!("`{}`: {}", fault.path, fault.message),
            );
        }
    }

    fn settings(&mut self, wire: WireSettings, environment: Environment<'_>) -> Settings {
        Settings {
            node: id::Node::from(self.name("node", wire.node)),
            data_centre: id::DataCentre::from(self.name("data_centre", wire.data_centre)),
            listen: self.listen(wire.listen, environment),
            platform: self.platform(wire.platform, environment),
            limits: self.limits(wire.limits),
            shutdown: self.shutdown(wire.shutdown),
            log: self.log(wire.log),
        }
    }

    fn listen(&mut self, wire: WireListen, environment: Environment<'_>) -> Listen {
        let callers = overridden(wire.callers, environment("DOTTERELTALLY_LISTEN_CALLERS"));
        let peers = overridden(wire.peers, environment("DOTTERELTALLY_LISTEN_PEERS"));
        let operations = overridden(
            wire.operations,
            environment("DOTTERELTALLY_LISTEN_OPERATIONS"),
        );
        Listen {
            callers: self.address("listen.callers", callers),
            peers: self.address("listen.peers", peers),
            operations: self.address("listen.operations", operations),
        }
    }

    fn platform(&mut self, wire: WirePlatform, environment: Environment<'_>) -> Platform {
        let defaults = Platform::default();
        let mut addresses = Vec::new();
        if let Some(list) = environment("DOTTERELTALLY_KV") {
            for address in list.split(',') {
                addresses.push(Source::environment(address.trim().to_owned()));
            }
        } else {
            for address in wire.kv.unwrap_or_default() {
                addresses.push(Source::file(address));
            }
        }
        if addresses.is_empty() {
            self.fault(
                None,
                "`platform.kv` is missing; list the addresses of the key-value service, such as [\"10.0.0.1:2379\"]",
            );
        }
        let mut kv = Vec::new();
        for address in addresses {
            kv.push(self.address("platform.kv", Some(address)));
        }
        let hosts = overridden(wire.hosts, environment("DOTTERELTALLY_HOSTS"));
        Platform {
            kv,
            hosts: self.url("platform.hosts", hosts),
            timeout: self.duration("platform.timeout", wire.timeout, defaults.timeout),
        }
    }

    fn limits(&mut self, wire: WireLimits) -> Limits {
        let defaults = Limits::default();
        let line = wire.head.as_ref().map(line_of);
        let head = self.size("limits.head", wire.head, defaults.head);
        if head < MIN_HEAD_BYTES {
            self.fault(line, "`limits.head` is below 8 KiB; write `8KiB` or more");
        }
        Limits {
            head,
            body: self.size("limits.body", wire.body, defaults.body),
            head_timeout: self.duration(
                "limits.head_timeout",
                wire.head_timeout,
                defaults.head_timeout,
            ),
            body_timeout: self.duration(
                "limits.body_timeout",
                wire.body_timeout,
                defaults.body_timeout,
            ),
            inactivity: self.duration("limits.inactivity", wire.inactivity, defaults.inactivity),
        }
    }

    fn shutdown(&mut self, wire: WireShutdown) -> Shutdown {
        let defaults = Shutdown::default();
        Shutdown {
            notice: self.duration("shutdown.notice", wire.notice, defaults.notice),
            grace: self.duration("shutdown.grace", wire.grace, defaults.grace),
        }
    }

    fn log(&mut self, wire: WireLog) -> Log {
        let mut log = Log::default();
        if let Some(format) = wire.format {
            match format.value.parse::<Format>() {
                Ok(format) => log.format = format,
                Err(_) => self.fault(
                    Some(line_of(&format)),
                    "`log.format` is unknown; write `json` or `text`",
                ),
            }
        }
        if let Some(level) = wire.level {
            match level.value.parse::<tracing::Level>() {
                Ok(level) => log.level = level,
                Err(_) => self.fault(
                    Some(line_of(&level)),
                    "`log.level` is unknown; write `error`, `warn`, `info`, `debug` or `trace`",
                ),
            }
        }
        log
    }
}

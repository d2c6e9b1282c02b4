//! Heartbeats, which each node sends to the others several times a second.

use std::{collections::BTreeMap, time::Duration};

use capnp::{
    message::{Builder, ReaderOptions},
    serialize_packed,
};
use dottereltally_lib::{
    dispatcher::{
        Load, limit, rejection, slow_start,
        speed::{self, Slowdown},
    },
    era::{Era, Revision},
    exchange::{Scope, View},
    id::{self, DataCentre, Endpoint, Fingerprint, Generation, Incarnation, Workspace},
    notice,
    quota::Usage,
    rollout::{Counts, Group, MAX_LAGGING, MAX_ROUTES, Report, Step},
    share::Rate,
    suspicion::{Kind, Mark},
};
use dottereltally_proto::gateway_capnp::{
    beat, held, listing as wire_listing, notice as wire_notice, rollout as wire_rollout,
    speed as wire_speed,
};

use crate::listing;

/// Size limit of a heartbeat that is read, in 8-byte words: 128 KiB unpacked.
const MAX_HEARTBEAT_WORDS: usize = 16 * 1024;

/// A heartbeat: the state of one node.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Heartbeat {
    /// The node that sends it.
    pub node: id::Node,
    /// Identifies the process of the node; a restarted node has another one.
    pub incarnation: u64,
    /// Number of the heartbeat, counted from the process's start.
    pub sequence: u64,
    /// The node's data centre.
    pub data_centre: DataCentre,
    /// Generation of the plan in force at the node.
    pub generation: Generation,
    /// Its load on each endpoint.
    pub loads: Vec<(Endpoint, Load)>,
    /// Its use of the quotas.
    pub usage: BTreeMap<Workspace, Usage>,
    /// Suspicions against requests that may crash endpoints.
    pub marks: Vec<Mark>,
    /// What endpoints said about their limits.
    pub limits: Vec<limit::Report>,
    /// Whether the node passes connections to endpoints on for others.
    pub carries: bool,
    /// What endpoints said about themselves.
    pub notices: Vec<notice::Report>,
    /// Version of the exchange that the node understands; zero if it knows none.
    pub exchange: u16,
    /// Whose usage is reported.
    pub scope: Scope,
    /// Nodes that pass connections on, in a scope beyond the node.
    pub carriers: Vec<id::Node>,
    /// What the node last read from the source of the directory.
    pub view: Option<View>,
    /// Whether endpoints are listed that had left, or that the sender knew to have left.
    pub listings: Vec<listing::Report>,
    /// What the sender knows of the speed of endpoints.
    pub speeds: Vec<speed::Report>,
    /// What was counted for the roll-outs of services, and their steps in force.
    pub rollouts: Vec<(id::Service, Report)>,
}

impl Heartbeat {
    /// Encodes the heartbeat as one datagram.
    ///
    /// # Errors
    ///
    /// Fails if the message can't be serialized.
    pub fn encode(&self) -> capnp::Result<Vec<u8>> {
        let mut message = Builder::new_default();
        let mut root = message.init_root::<beat::Builder<'_>>();
        root.set_node(self.node.as_str());
        root.set_incarnation(self.incarnation);
        root.set_sequence(self.sequence);
        root.set_data_centre(self.data_centre.as_str());
        root.set_generation(self.generation.0);
        root.set_carries(self.carries);
        write_loads(
            &self.loads,
            root.reborrow().init_held(list_length(self.loads.len())),
        );
        let mut list = root.reborrow().init_usage(list_length(self.usage.len()));
        for (index, (workspace, usage)) in self.usage.iter().enumerate() {
            let mut entry = list.reborrow().get(list_length(index));
            entry.set_workspace(workspace.as_str());
            entry.set_admitted(usage.admitted);
            entry.set_demand(usage.demand);
        }
        let mut list = root.reborrow().init_limits(list_length(self.limits.len()));
        for (index, report) in self.limits.iter().enumerate() {
            let mut entry = list.reborrow().get(list_length(index));
            entry.set_endpoint(report.endpoint.as_str());
            entry.set_per_second(report.rate.unwrap_or_default().per_second());
            entry.set_is_lifted(report.rate.is_none());
            entry.set_age_ms(whole_millis(report.age));
            #[expect(clippy::cast_possible_truncation, reason = "an average")]
            entry.set_demand(report.demand as f32);
        }
        root.set_exchange(self.exchange);
        root.set_scope(self.scope.into());
        if let Some(view) = &self.view {
            let mut wire = root.reborrow().init_view();
            wire.set_digest(view.digest);
            wire.set_number(view.number);
            wire.set_age_ms(whole_millis(view.age));
            wire.set_era(view.era.announced);
            wire.set_era_falls(view.era.falls);
        }
        let mut list = root
            .reborrow()
            .init_carriers(list_length(self.carriers.len()));
        for (index, name) in self.carriers.iter().enumerate() {
            list.set(list_length(index), name.as_str());
        }
        let mut list = root
            .reborrow()
            .init_notices(list_length(self.notices.len()));
        for (index, report) in self.notices.iter().enumerate() {
            write_notice(report, list.reborrow().get(list_length(index)));
        }
        let mut list = root
            .reborrow()
            .init_listings(list_length(self.listings.len()));
        for (index, report) in self.listings.iter().enumerate() {
            write_listing(report, list.reborrow().get(list_length(index)));
        }
        let mut list = root.reborrow().init_speeds(list_length(self.speeds.len()));
        for (index, report) in self.speeds.iter().enumerate() {
            write_speed(report, list.reborrow().get(list_length(index)));
        }
        let mut list = root
            .reborrow()
            .init_rollouts(list_length(self.rollouts.len()));
        for (index, (service, report)) in self.rollouts.iter().enumerate() {
            let entry = list.reborrow().get(list_length(index));
            write_rollout(service, report, entry);
        }
        let mut list = root.init_marks(list_length(self.marks.len()));
        for (index, mark) in self.marks.iter().enumerate() {
            let mut entry = list.reborrow().get(list_length(index));
            entry.set_fingerprint(mark.fingerprint.0);
            entry.set_valid_ms(u64::try_from(mark.valid.as_millis()).unwrap_or(u64::MAX));
            entry.set_incarnation(mark.incarnation.0);
            entry.set_kind(mark.kind.into());
        }
        let mut bytes = Vec::new();
        serialize_packed::write_message(&mut bytes, &message)?;
        Ok(bytes)
    }

    /// Decodes a heartbeat.
    ///
    /// # Errors
    ///
    /// Fails if the datagram is not a heartbeat.
    pub fn decode(bytes: &[u8]) -> capnp::Result<Self> {
        let mut options = ReaderOptions::new();
        options.traversal_limit_in_words(Some(MAX_HEARTBEAT_WORDS));
        let message = serialize_packed::read_message(bytes, options)?;
        let root = message.get_root::<beat::Reader<'_>>()?;
        let mut heartbeat = Self {
            node: id::Node::from(root.get_node()?.to_str()?),
            incarnation: root.get_incarnation(),
            sequence: root.get_sequence(),
            data_centre: DataCentre::from(root.get_data_centre()?.to_str()?),
            generation: Generation(root.get_generation()),
            carries: root.get_carries(),
            exchange: root.get_exchange(),
            scope: Scope::from(root.get_scope()),
            ..Self::default()
        };
        if root.has_view() {
            let view = root.get_view()?;
            heartbeat.view = Some(View {
                digest: view.get_digest(),
                number: view.get_number(),
                age: Duration::from_millis(view.get_age_ms().into()),
                era: Era {
                    announced: view.get_era(),
                    falls: view.get_era_falls(),
                },
            });
        }
        for name in root.get_carriers()? {
            heartbeat.carriers.push(id::Node::from(name?.to_str()?));
        }
        for entry in root.get_notices()? {
            heartbeat.notices.push(read_notice(entry)?);
        }
        for entry in root.get_listings()? {
            heartbeat.listings.push(read_listing(entry)?);
        }
        for entry in root.get_speeds()? {
            heartbeat.speeds.push(read_speed(entry)?);
        }
        for entry in root.get_rollouts()? {
            heartbeat.rollouts.push(read_rollout(entry)?);
        }
        heartbeat.loads = read_loads(root.get_held()?)?;
        for entry in root.get_usage()? {
            let usage = Usage {
                admitted: entry.get_admitted(),
                demand: entry.get_demand(),
            };
            let workspace = Workspace::from(entry.get_workspace()?.to_str()?);
            heartbeat.usage.insert(workspace, usage);
        }
        for entry in root.get_marks()? {
            // A node of an older version names no kind that is known here.
            let Ok(kind) = Kind::try_from(entry.get_kind()) else {
                continue;
            };
            heartbeat.marks.push(Mark {
                fingerprint: Fingerprint(entry.get_fingerprint()),
                incarnation: Incarnation(entry.get_incarnation()),
                kind,
                valid: Duration::from_millis(entry.get_valid_ms()),
            });
        }
        for entry in root.get_limits()? {
            let rate = Rate::try_from(entry.get_per_second());
            let rate = rate.map_err(|error| capnp::Error::failed(error.to_string()))?;
            heartbeat.limits.push(limit::Report {
                endpoint: Endpoint::from(entry.get_endpoint()?.to_str()?),
                rate: (!entry.get_is_lifted()).then_some(rate),
                age: Duration::from_millis(entry.get_age_ms().into()),
                demand: f64::from(entry.get_demand()),
            });
        }
        Ok(heartbeat)
    }
}

fn write_notice(report: &notice::Report, mut wire: wire_notice::Builder<'_>) {
    wire.set_endpoint(report.endpoint.as_str());
    wire.set_started_ms(report.started_ms.unwrap_or_default());
    wire.set_is_leaving(report.leaving.is_some());
    wire.set_leaving_age_ms(whole_millis(report.leaving.unwrap_or_default()));
    let Some(brittle) = &report.brittle else {
        return;
    };
    wire.set_is_brittle(true);
    wire.set_brittle(brittle.most);
    wire.set_brittle_age_ms(whole_millis(brittle.age));
    wire.set_recent(brittle.recent);
    if let Some((held, age)) = brittle.held {
        #[expect(clippy::cast_possible_truncation, reason = "a number of requests")]
        wire.set_held(held as f32);
        wire.set_held_age_ms(whole_millis(age));
    }
}

fn read_notice(wire: wire_notice::Reader<'_>) -> capnp::Result<notice::Report> {
    let millis = |value: u32| Duration::from_millis(value.into());
    let started_ms = wire.get_started_ms();
    let held = f64::from(wire.get_held());
    if !held.is_finite() || held < 0.0 {
        return Err(capnp::Error::failed(
            "a negative number of requests".to_owned(),
        ));
    }
    let leaving_age = millis(wire.get_leaving_age_ms());
    Ok(notice::Report {
        endpoint: Endpoint::from(wire.get_endpoint()?.to_str()?),
        started_ms: (started_ms > 0).then_some(started_ms),
        leaving: wire.get_is_leaving().then_some(leaving_age),
        brittle: wire.get_is_brittle().then(|| rejection::Report {
            most: wire.get_brittle(),
            age: millis(wire.get_brittle_age_ms()),
            held: (held > 0.0).then(|| (held, millis(wire.get_held_age_ms()))),
            recent: wire.get_recent(),
        }),
    })
}

fn write_speed(report: &speed::Report, mut wire: wire_speed::Builder<'_>) {
    wire.set_endpoint(report.endpoint.as_str());
    wire.set_started_ms(report.started_ms.unwrap_or_default());
    if let Some((slowdown, age)) = report.stated {
        #[expect(clippy::cast_possible_truncation, reason = "an estimate")]
        wire.set_stated(slowdown.factor() as f32);
        wire.set_stated_age_ms(whole_millis(age));
    }
    if let Some(window) = report.window {
        wire.set_answers(window.answers);
        #[expect(clippy::cast_possible_truncation, reason = "a number of requests")]
        wire.set_window(window.size as f32);
        wire.set_window_age_ms(whole_millis(window.age));
    }
}

fn read_speed(wire: wire_speed::Reader<'_>) -> capnp::Result<speed::Report> {
    let started_ms = wire.get_started_ms();
    // A value that is no slowdown counts as none, so that the rest of the heartbeat is used.
    let slowdown = Slowdown::try_from(f64::from(wire.get_stated())).ok();
    let age = Duration::from_millis(wire.get_stated_age_ms().into());
    let size = f64::from(wire.get_window());
    Ok(speed::Report {
        endpoint: Endpoint::from(wire.get_endpoint()?.to_str()?),
        started_ms: (started_ms > 0).then_some(started_ms),
        stated: slowdown.map(|slowdown| (slowdown, age)),
        window: (size.is_finite() && size > 0.0).then(|| slow_start::Report {
            size,
            age: Duration::from_millis(wire.get_window_age_ms().into()),
            answers: wire.get_answers(),
        }),
    })
}

fn write_listing(report: &listing::Report, mut wire: wire_listing::Builder<'_>) {
    wire.set_endpoint(report.endpoint.as_str());
    wire.set_started_ms(report.process.started_ms.unwrap_or_default());
    wire.set_sequence(report.process.sequence);
    wire.set_revision(report.revision.number);
    wire.set_era(report.revision.era.announced);
    wire.set_era_falls(report.revision.era.falls);
    wire.set_is_listed(report.is_listed);
    wire.set_age_ms(whole_millis(report.age));
}

fn read_listing(wire: wire_listing::Reader<'_>) -> capnp::Result<listing::Report> {
    let started_ms = wire.get_started_ms();
    Ok(listing::Report {
        endpoint: Endpoint::from(wire.get_endpoint()?.to_str()?),
        process: listing::Process {
            started_ms: (started_ms > 0).then_some(started_ms),
            sequence: wire.get_sequence(),
        },
        revision: Revision {
            era: Era {
                announced: wire.get_era(),
                falls: wire.get_era_falls(),
            },
            number: wire.get_revision(),
        },
        is_listed: wire.get_is_listed(),
        age: Duration::from_millis(wire.get_age_ms().into()),
    })
}

fn write_rollout(service: &id::Service, report: &Report, mut wire: wire_rollout::Builder<'_>) {
    wire.set_service(service.as_str());
    wire.set_order(report.order.number);
    wire.set_order_era(report.order.era.announced);
    wire.set_order_era_falls(report.order.era.falls);
    wire.set_step(report.step.0);
    wire.set_nodes(report.nodes);
    wire.set_running(report.baseline_in_flight);
    let behind = report.lagging.len().min(MAX_LAGGING);
    let mut list = wire.reborrow().init_behind(list_length(behind));
    for (index, node) in report.lagging.iter().take(MAX_LAGGING).enumerate() {
        list.set(list_length(index), node.as_str());
    }
    let mut list = wire.init_counts(list_length(report.samples.len()));
    for (index, ((route, group), counts)) in report.samples.iter().enumerate() {
        let mut entry = list.reborrow().get(list_length(index));
        entry.set_route(route.as_str());
        entry.set_is_target(*group == Group::Canary);
        entry.set_sent(counts.sent);
        entry.set_answered(counts.answered);
        entry.set_failed(counts.failed);
        entry.set_slow(counts.slow);
    }
}

fn read_rollout(wire: wire_rollout::Reader<'_>) -> capnp::Result<(id::Service, Report)> {
    let mut report = Report {
        order: Revision {
            era: Era {
                announced: wire.get_order_era(),
                falls: wire.get_order_era_falls(),
            },
            number: wire.get_order(),
        },
        step: Step(wire.get_step()),
        nodes: wire.get_nodes(),
        baseline_in_flight: wire.get_running(),
        ..Report::default()
    };
    for node in wire.get_behind()?.iter().take(MAX_LAGGING) {
        report.lagging.push(id::Node::from(node?.to_str()?));
    }
    // Two groups a route, and the routes beyond the named ones.
    for entry in wire.get_counts()?.iter().take(2 * (MAX_ROUTES + 1)) {
        let group = if entry.get_is_target() {
            Group::Canary
        } else {
            Group::Baseline
        };
        let counts = Counts {
            sent: entry.get_sent(),
            answered: entry.get_answered(),
            failed: entry.get_failed(),
            slow: entry.get_slow(),
        };
        report.record(
            &id::Route::from(entry.get_route()?.to_str()?),
            group,
            counts,
        );
    }
    Ok((id::Service::from(wire.get_service()?.to_str()?), report))
}

fn whole_millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

/// Encodes the load of a node on each endpoint.
pub(crate) fn write_loads(
    entries: &[(Endpoint, Load)],
    mut list: capnp::struct_list::Builder<'_, held::Owned>,
) {
    for (index, (endpoint, load)) in entries.iter().enumerate() {
        let mut entry = list.reborrow().get(list_length(index));
        entry.set_endpoint(endpoint.as_str());
        entry.set_requests(load.requests);
        entry.set_pending(load.pending);
        let event_interval = load.event_interval.unwrap_or_default().as_micros();
        entry.set_pace_micros(u32::try_from(event_interval).unwrap_or(u32::MAX));
    }
}

/// Decodes the load of a node on each endpoint.
pub(crate) fn read_loads(
    list: capnp::struct_list::Reader<'_, held::Owned>,
) -> Result<Vec<(Endpoint, Load)>, capnp::Error> {
    let mut entries = Vec::new();
    for entry in list {
        let event_interval = entry.get_pace_micros();
        let load = Load {
            requests: entry.get_requests(),
            pending: entry.get_pending(),
            event_interval: (event_interval > 0)
                .then(|| Duration::from_micros(event_interval.into())),
        };
        let endpoint = Endpoint::from(entry.get_endpoint()?.to_str()?);
        entries.push((endpoint, load));
    }
    Ok(entries)
}

/// Converts the length or index of a list to its type on the wire.
pub(crate) fn list_length(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

//! Encodes and decodes requests, decisions and outcomes for messages between
//! nodes.

use std::time::Duration;

use capnp::Error;
use dottereltally_lib::{
    dispatcher::{Choice, Outcome, Request, Timing},
    id,
    refusal::{self, Refusal},
    rollout::Filter,
    time,
};
use dottereltally_proto::gateway_capnp::{self, ask, decision, desk, refusal as wire_refusal};

use crate::heartbeat::list_length;

/// Encodes a request. Points in time are sent as the time left from `now`, as
/// an instant of one node's clock means nothing to another node; a longest pause
/// of zero means none.
pub(super) fn write_request(request: &Request, now: time::Instant, mut wire: ask::Builder<'_>) {
    wire.set_service(request.service.as_str());
    wire.set_route(request.route.as_str());
    wire.set_tier(request.tier.0);
    wire.set_class(request.class.0);
    wire.set_prompt(request.prompt);
    wire.set_output(request.expected_output);
    wire.set_pause_micros(micros(request.max_pause.unwrap_or_default()));
    wire.set_due_micros(micros(request.first_byte_due.since(now)));
    wire.set_first_by_micros(micros(request.caller_leaves_at.since(now)));
    wire.set_deadline_micros(micros(request.deadline.since(now)));
    let mut excluded = wire
        .reborrow()
        .init_avoid(list_length(request.excluded.len()));
    for (index, endpoint) in request.excluded.iter().enumerate() {
        excluded.set(list_length(index), endpoint.as_str());
    }
    wire.set_resumable(request.resumable);
    if let Some(version) = &request.version {
        wire.set_version(version.as_str());
    }
    if let Some(workspace) = &request.workspace {
        wire.set_workspace(workspace.as_str());
    }
    wire.set_fingerprint(request.fingerprint.unwrap_or_default().0);
    match &request.version_filter {
        Filter::Any => {}
        Filter::Only(version) => wire.set_only_version(version.as_str()),
        Filter::Not(version) => wire.set_not_version(version.as_str()),
    }
}

pub(super) fn read_request(wire: ask::Reader<'_>, now: time::Instant) -> Result<Request, Error> {
    let pause = Duration::from_micros(wire.get_pause_micros());
    let mut excluded = Vec::new();
    for endpoint in wire.get_avoid()? {
        excluded.push(id::Endpoint::from(endpoint?.to_str()?));
    }
    let workspace = wire.get_workspace()?.to_str()?;
    let fingerprint = wire.get_fingerprint();
    Ok(Request {
        service: id::Service::from(wire.get_service()?.to_str()?),
        route: id::Route::from(wire.get_route()?.to_str()?),
        tier: id::Tier(wire.get_tier()),
        class: id::Tier(wire.get_class()),
        prompt: wire.get_prompt(),
        expected_output: wire.get_output(),
        max_pause: (!pause.is_zero()).then_some(pause),
        first_byte_due: now + Duration::from_micros(wire.get_due_micros()),
        caller_leaves_at: now + Duration::from_micros(wire.get_first_by_micros()),
        deadline: now + Duration::from_micros(wire.get_deadline_micros()),
        excluded,
        version: read_version(wire.get_version()?)?,
        resumable: wire.get_resumable(),
        workspace: (!workspace.is_empty()).then(|| id::Workspace::from(workspace)),
        fingerprint: (fingerprint > 0).then_some(id::Fingerprint(fingerprint)),
        version_filter: match (
            read_version(wire.get_only_version()?)?,
            read_version(wire.get_not_version()?)?,
        ) {
            (Some(version), _) => Filter::Only(version),
            (None, Some(version)) => Filter::Not(version),
            (None, None) => Filter::Any,
        },
    })
}

pub(super) fn write_decision(decision: &Result<Choice, Refusal>, wire: decision::Builder<'_>) {
    match decision {
        Ok(choice) => {
            let mut wire = wire.init_choice();
            wire.set_endpoint(choice.endpoint.as_str());
            wire.set_address(&choice.address);
            wire.set_data_centre(choice.data_centre.as_str());
            wire.set_own(choice.own_requests);
            wire.set_others(choice.other_requests);
            wire.set_places(choice.capacity);
            wire.set_first_micros(micros(choice.expected_first_byte));
            wire.set_waiting(choice.waiting as u64);
            if let Some(version) = &choice.version {
                wire.set_version(version.as_str());
            }
        }
        Err(refusal) => {
            let mut wire = wire.init_refusal();
            wire.set_reason(write_reason(refusal.reason));
            wire.set_retry_micros(micros(refusal.retry_after));
        }
    }
}

pub(super) fn read_decision(wire: decision::Reader<'_>) -> Result<Result<Choice, Refusal>, Error> {
    match wire.which()? {
        decision::Which::Choice(choice) => {
            let choice = choice?;
            Ok(Ok(Choice {
                endpoint: id::Endpoint::from(choice.get_endpoint()?.to_str()?),
                address: choice.get_address()?.to_str()?.to_owned(),
                data_centre: id::DataCentre::from(choice.get_data_centre()?.to_str()?),
                version: read_version(choice.get_version()?)?,
                own_requests: choice.get_own(),
                other_requests: choice.get_others(),
                capacity: choice.get_places(),
                expected_first_byte: Duration::from_micros(choice.get_first_micros()),
                waiting: usize::try_from(choice.get_waiting()).unwrap_or(usize::MAX),
            }))
        }
        decision::Which::Refusal(refusal) => read_refusal(refusal?).map(Err),
    }
}

fn read_refusal(wire: wire_refusal::Reader<'_>) -> Result<Refusal, Error> {
    use gateway_capnp::Reason as Wire;
    let reason = match wire.get_reason()? {
        Wire::Overload => refusal::Reason::Overload,
        Wire::Deadline => refusal::Reason::Deadline,
        Wire::NoEndpoint => refusal::Reason::NoEndpoint,
        Wire::Limit => refusal::Reason::Limit,
        Wire::Quarantine => refusal::Reason::Quarantine,
        Wire::Shutdown => refusal::Reason::Shutdown,
    };
    Ok(Refusal {
        reason,
        retry_after: Duration::from_micros(wire.get_retry_micros()),
    })
}

fn write_reason(reason: refusal::Reason) -> gateway_capnp::Reason {
    use gateway_capnp::Reason as Wire;
    match reason {
        refusal::Reason::Overload => Wire::Overload,
        refusal::Reason::Deadline => Wire::Deadline,
        refusal::Reason::NoEndpoint => Wire::NoEndpoint,
        refusal::Reason::Limit => Wire::Limit,
        refusal::Reason::Quarantine => Wire::Quarantine,
        refusal::Reason::Shutdown => Wire::Shutdown,
    }
}

pub(super) fn write_outcome(outcome: Outcome, mut wire: desk::end_params::Builder<'_>) {
    use gateway_capnp::Outcome as Wire;
    let kind = match outcome {
        Outcome::Answered(timing) => {
            wire.set_events(timing.events);
            wire.set_pause_micros(micros(timing.longest_pause));
            Wire::Answered
        }
        Outcome::Cancelled => Wire::Cancelled,
        // Coordinators weigh both alike, and earlier versions know no silence.
        Outcome::Failed | Outcome::Silent => Wire::Failed,
        Outcome::Rejected => Wire::Rejected,
        Outcome::Misdirected => Wire::Misdirected,
        Outcome::Unreachable => Wire::Unreachable,
        Outcome::Broken => Wire::Broken,
    };
    wire.set_outcome(kind);
}

pub(super) fn read_outcome(wire: desk::end_params::Reader<'_>) -> Result<Outcome, Error> {
    use gateway_capnp::Outcome as Wire;
    Ok(match wire.get_outcome()? {
        Wire::Answered => Outcome::Answered(Timing {
            events: wire.get_events(),
            longest_pause: Duration::from_micros(wire.get_pause_micros()),
        }),
        Wire::Cancelled => Outcome::Cancelled,
        Wire::Failed => Outcome::Failed,
        Wire::Rejected => Outcome::Rejected,
        Wire::Misdirected => Outcome::Misdirected,
        Wire::Unreachable => Outcome::Unreachable,
        Wire::Broken => Outcome::Broken,
    })
}

/// Reads a software version; an empty text means none.
fn read_version(wire: capnp::text::Reader<'_>) -> Result<Option<id::Version>, Error> {
    let version = wire.to_str()?;
    Ok((!version.is_empty()).then(|| id::Version::from(version)))
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

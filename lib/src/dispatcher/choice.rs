//! Choice of the endpoint for a queued request, by its expected cost.

use std::{collections::BTreeMap, time::Duration};

use rand::Rng;

use crate::{
    dispatcher::{
        Dispatcher, Request, TRANSIT_MARGIN,
        member::Member,
        queue::{Queue, Timeliness},
    },
    id,
    rollout::Filter,
    time,
};

/// Cost added to an endpoint in another data centre, in seconds.
const REMOTE_COST_SECS: f64 = 0.07;

/// Upper bound of the random cost added to each endpoint, in seconds. It keeps
/// nodes with the same information from all choosing the same endpoint.
const MAX_JITTER_SECS: f64 = 0.006;

/// Difference in expected time, as a fraction, within which endpoints that state their
/// speed count as equally fast for nodes that decide side by side.
const NEAR_EQUAL_FRACTION: f64 = 0.1;

/// Weight of the expected streaming time, relative to the time to first byte.
const STREAM_TIME_WEIGHT: f64 = 0.1;

/// Cost of each stream running at the endpoint that would pause for longer than
/// the request's `max_pause`, in seconds.
const STALL_COST_SECS: f64 = 0.15;

/// Fraction of the request's `max_pause` above which the expected pause of the
/// streams at an endpoint adds to the cost.
const STALL_THRESHOLD: f64 = 0.7;

/// Cost of the last free slot of an endpoint of mean speed, in seconds. It
/// grows with speed, to keep slots of fast endpoints free for requests that
/// need them.
const OCCUPANCY_COST_SECS: f64 = 0.05;

/// Longest mean time between two completions, in seconds, at which a full
/// endpoint gets one request in advance. It covers the 10 ms that the message
/// about a completion and the next request take between data centres; a larger
/// value would delay urgent requests (see `test_dispatcher`).
const MAX_COMPLETION_GAP_SECS: f64 = 0.06;

/// Cost of an answer that would not be complete by its deadline, in seconds.
const INCOMPLETE_COST_SECS: f64 = 2.0;

/// Cost of an endpoint at which every recent request failed, in seconds; scaled
/// by the recent failure rate.
const FAILURE_COST_SECS: f64 = 1.5;

/// Longest time for which a request that needs one version waits for an endpoint
/// that is avoided; its caller can reach others through another node.
const MAX_AVOIDED_WAIT: Duration = Duration::from_millis(400);

/// Cost of an endpoint of a scarce version for a stream that may be resumed, in
/// seconds. It outweighs distance, but not an answer that would not be complete.
const SCARCE_VERSION_COST_SECS: f64 = 0.3;

/// Result of choosing an endpoint for a queued request.
pub(super) enum Selection {
    /// To this endpoint, with the expected time to first byte in seconds.
    At(id::Endpoint, f64),
    /// Some endpoint has room, but none suits this request, which stays queued;
    /// a later request may fit.
    Wait,
    /// No endpoint has room for any request.
    Full,
}

impl Dispatcher {
    /// Chooses the endpoint with the lowest cost for a request: the expected time
    /// to first byte plus the penalties defined above, in seconds.
    pub(super) fn choose(
        &self,
        now: time::Instant,
        queue: &Queue,
        (id, request): (id::Request, &Request),
        timeliness: Timeliness,
    ) -> Selection {
        let is_trial = queue.is_trial(id);
        let expected = queue.expectation(request);
        let time_to_due = (request.first_byte_due - TRANSIT_MARGIN)
            .since(now)
            .as_secs_f64();
        let time_to_deadline = (request.deadline - TRANSIT_MARGIN).since(now).as_secs_f64();
        let mut best: Option<(f64, f64, &id::Endpoint)> = None;
        let mut has_room = false;
        let mut rng = self.rng.clone();
        let applies_windows = self.applies_windows(now, queue, request);
        for name in &queue.endpoints {
            let Some(member) = self.members.get(name) else {
                continue;
            };
            let relative_speed = member.relative_speed(now, queue.mean_speed);
            let is_local = member.record.data_centre == self.settings.data_centre;
            let Some(wait) = wait_for_slot(now, queue, member, relative_speed, is_local) else {
                continue;
            };
            if applies_windows && self.is_window_full(now, member, is_local) {
                continue;
            }
            has_room = true;
            if request.excluded.contains(name) || !member.serves(request) {
                continue;
            }
            let first_byte_secs =
                wait + expected.first_byte(member.pending_tokens(), relative_speed);
            let remote_cost = if is_local { 0.0 } else { REMOTE_COST_SECS };
            // A request that needs one version has few endpoints, and gains nothing by
            // waiting for a better one.
            let misses_due = timeliness == Timeliness::OnTime
                && request.version.is_none()
                && first_byte_secs > time_to_due;
            let stream_time = expected.stream_time(relative_speed);
            let shortest = expected.shortest_duration(first_byte_secs, relative_speed);
            if !is_trial && (misses_due || shortest > time_to_deadline) {
                continue;
            }
            let incomplete_cost = if first_byte_secs + stream_time > time_to_deadline {
                INCOMPLETE_COST_SECS
            } else {
                0.0
            };
            let is_scarce = request.resumable && queue.is_scarce(member);
            let version_cost = if is_scarce {
                SCARCE_VERSION_COST_SECS
            } else {
                0.0
            };
            let stalled = stalled_streams(now, queue, request, member);
            let cost = first_byte_secs
                + remote_cost
                + STREAM_TIME_WEIGHT * stream_time
                + STALL_COST_SECS * stalled
                + incomplete_cost
                + version_cost
                + OCCUPANCY_COST_SECS * relative_speed * member.occupancy()
                + FAILURE_COST_SECS * member.failure_rate(now)
                + rng.random_range(0.0..MAX_JITTER_SECS)
                    * self.jitter_scale(now, member, first_byte_secs);
            if best.is_none_or(|(lowest, ..)| cost < lowest) {
                best = Some((cost, first_byte_secs, name));
            }
        }
        match best {
            Some((_, first_byte_secs, name)) => Selection::At(name.clone(), first_byte_secs),
            None if has_room => Selection::Wait,
            None => Selection::Full,
        }
    }

    /// Returns the endpoints of a service that have a free slot now, and whether the window
    /// of each is full.
    pub(super) fn open_members<'a>(
        &'a self,
        now: time::Instant,
        queue: &Queue,
    ) -> Vec<(&'a Member, bool)> {
        let mut open = Vec::new();
        for name in &queue.endpoints {
            let Some(member) = self.members.get(name) else {
                continue;
            };
            let relative_speed = member.relative_speed(now, queue.mean_speed);
            let is_local = member.record.data_centre == self.settings.data_centre;
            if wait_for_slot(now, queue, member, relative_speed, is_local).is_none() {
                continue;
            }
            open.push((member, self.is_window_full(now, member, is_local)));
        }
        open
    }

    /// Returns whether one of the open endpoints may take a request.
    pub(super) fn is_placeable(
        &self,
        now: time::Instant,
        queue: &Queue,
        open: &[(&Member, bool)],
        request: &Request,
    ) -> bool {
        let applies_windows = self.applies_windows(now, queue, request);
        let mut open = open.iter();
        open.any(|(member, is_full)| {
            !(applies_windows && *is_full)
                && member.serves(request)
                && !request.excluded.contains(&member.record.id)
        })
    }

    /// Returns the factor on the random cost of an endpoint. Nodes that learn of the same
    /// fast endpoint would all choose it; where endpoints state their speed, the random
    /// cost grows with the expected time, so that near-equal ones share the requests.
    fn jitter_scale(&self, now: time::Instant, member: &Member, first_byte_secs: f64) -> f64 {
        if self.node_count <= 1 || !member.speed.is_stated(now) {
            return 1.0;
        }
        1.0 + NEAR_EQUAL_FRACTION * first_byte_secs / MAX_JITTER_SECS
    }
}

/// Returns the expected seconds until an endpoint has a free slot. Returns `None`
/// if the endpoint takes no requests now, if it is full and already has one in
/// advance, or if it is full and the wait is unknown or longer than
/// [`MAX_COMPLETION_GAP_SECS`].
fn wait_for_slot(
    now: time::Instant,
    queue: &Queue,
    member: &Member,
    relative_speed: f64,
    is_local: bool,
) -> Option<f64> {
    let capacity = member.usable_slots(now, is_local);
    let load = member.available_load(now)?;
    if load < capacity {
        return Some(0.0);
    }
    // An endpoint that bears few rejections gets none in advance.
    if member.tolerance.is_limited(now) {
        return None;
    }
    let wait = queue.model.mean_stream_time() / (relative_speed * f64::from(capacity));
    (load == capacity && wait > 0.0 && wait <= MAX_COMPLETION_GAP_SECS).then_some(wait)
}

/// Returns the number of streams at an endpoint that would pause for too long
/// while it processes the request's prompt.
///
/// The streams serve the same service, so the request's `max_pause` is taken as
/// the limit of all of them. Each counts from zero, at [`STALL_THRESHOLD`] of
/// that limit, up to one, at the limit.
fn stalled_streams(now: time::Instant, queue: &Queue, request: &Request, member: &Member) -> f64 {
    let Some(max_pause) = request.max_pause else {
        return 0.0;
    };
    let max_pause = max_pause.as_secs_f64();
    let relative_speed = member.relative_speed(now, queue.mean_speed);
    let longest =
        queue
            .model
            .expected_pause(request.prompt, member.pending_tokens(), relative_speed);
    let severity = (longest / max_pause - STALL_THRESHOLD) / (1.0 - STALL_THRESHOLD);
    severity.clamp(0.0, 1.0) * f64::from(member.running())
}

/// Returns whether some live endpoint may take a request. A request that needs one
/// version has few endpoints to wait for, so those that are avoided for longer than
/// [`MAX_AVOIDED_WAIT`] don't count.
pub(super) fn has_candidate(
    now: time::Instant,
    members: &BTreeMap<id::Endpoint, Member>,
    queue: &Queue,
    request: &Request,
) -> bool {
    if request.excluded.is_empty()
        && request.version.is_none()
        && request.version_filter == Filter::Any
    {
        return true;
    }
    for name in &queue.endpoints {
        let Some(member) = members.get(name) else {
            continue;
        };
        if request.excluded.contains(name) || !member.serves(request) {
            continue;
        }
        if request.version.is_none() || member.avoided_for(now) <= MAX_AVOIDED_WAIT {
            return true;
        }
    }
    false
}

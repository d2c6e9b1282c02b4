//! Checks, routes and charges requests before they are sent.

use std::sync::Arc;

use bytes::Bytes;
use dottereltally::{
    filter::{self, MEMORY_RETRY_AFTER},
    problem::Reason,
};
use dottereltally_lib::{
    crash::Subject,
    id,
    plan::Plan,
    refusal,
    route::{Retry, Route},
    time,
};
use http::{HeaderMap, StatusCode, header::HOST, request::Parts};
use xxhash_rust::xxh3::Xxh3;

use crate::{
    attempt::Template,
    chain::{ANSWER_MARGIN, Chain, DEFAULT_RETRY_AFTER, OTHER_NODE_RETRY_AFTER},
    dialect::{Dialect, Head},
    job::Job,
    logging::millis,
    refusal::Refused,
    sync::lock,
};

impl<D: Dialect> Chain<D> {
    /// Checks, routes and charges a request before it is sent.
    pub(crate) async fn accept<B>(
        &self,
        received: time::Instant,
        head: Head,
        parts: Parts,
        mut body: B,
    ) -> Result<Job, Refused>
    where
        B: http_body::Body<Data = Bytes> + Unpin + Send,
    {
        let plan = self.plan.borrow().clone();
        let Some(plan) = plan else {
            let refused = Refused::unsent(
                StatusCode::SERVICE_UNAVAILABLE,
                Reason::NoConfiguration,
                "this node has no configuration yet; send the request again",
            );
            return Err(refused.with_retry_after(DEFAULT_RETRY_AFTER).closing());
        };
        filter::check_head(&parts, plan.limits.head).map_err(refuse_and_close)?;
        let host = host(&parts.headers)?;
        let route = plan.routes.find(host, parts.uri.path()).ok_or_else(|| {
            Refused::unsent(
                StatusCode::NOT_FOUND,
                Reason::NoCall,
                "no route matches; check host and path",
            )
        })?;
        let workspace = workspace(&plan, route, &head)?;
        let (limit, time_limit) = (plan.limits.body, plan.limits.receive);
        let reading = filter::read_body(&mut body, &self.bodies, limit, time_limit);
        let body = reading.await.map_err(refuse_and_close)?;
        // A stream that its caller resumes goes on at the service that began it.
        let first_attempt = resumed_after(route, &head).and(head.resumes.as_ref());
        let target = first_attempt.unwrap_or(&head.correlation_id);
        let service = route.service(hash(&[target.as_bytes()]));
        let service = service.ok_or_else(|| {
            let refused = Refused::unsent(
                StatusCode::SERVICE_UNAVAILABLE,
                Reason::Core(refusal::Reason::NoEndpoint),
                "the route leads to no service; give one of its targets a weight",
            );
            refused.with_retry_after(DEFAULT_RETRY_AFTER)
        })?;
        let subject = self.subject(&parts, &head, &body);
        self.check_quarantine(&head.correlation_id, &subject)
            .await?;
        let time_limit = head
            .remaining
            .map_or(route.timeout, |remaining| remaining.min(route.timeout));
        let deadline = received + time_limit - ANSWER_MARGIN;
        let version = match resumed_after(route, &head) {
            Some(after) => Some(self.find_version(&head, service, deadline, after).await?),
            None => None,
        };
        let tokens = expected_tokens(&head);
        if !self.can_end(service, tokens, deadline, route.retry) {
            return Err(Refused::shutting_down(OTHER_NODE_RETRY_AFTER));
        }
        let tier = self.charge(&plan, route, workspace.as_ref(), &head)?;
        let patience = route.patience.unwrap_or(time_limit);
        Ok(Job {
            correlation_id: head.correlation_id.clone(),
            route: Arc::clone(route),
            service: service.clone(),
            workspace: workspace.clone(),
            tier,
            tokens,
            received,
            deadline,
            first_byte_deadline: deadline.min(received + patience - ANSWER_MARGIN),
            subject,
            version,
            sample: rand::random(),
            template: Template::new(parts, body, head, workspace, plan.workspaces.is_some()),
        })
    }

    /// Finds the version that began a stream, which is to go on after the event
    /// `after`.
    ///
    /// # Errors
    ///
    /// Fails with a refusal if the version is not known for certain.
    async fn find_version(
        &self,
        head: &Head,
        service: &id::Service,
        deadline: time::Instant,
        after: u64,
    ) -> Result<id::Version, Refused> {
        let started = self.clock.now();
        let remaining = deadline.since(started);
        let resumes = head.resumes.as_deref();
        let found = self.origins.find(resumes, service, remaining).await;
        let took = millis(self.clock.now().since(started));
        match found {
            Ok(found) => {
                tracing::info!(
                    id = head.correlation_id,
                    resumes,
                    service = %service,
                    after,
                    version = %found.version,
                    source = %found.source,
                    took_ms = took,
                    "stream is resumed by its caller"
                );
                Ok(found.version)
            }
            Err(cause) => {
                tracing::info!(
                    id = head.correlation_id,
                    resumes,
                    service = %service,
                    after,
                    %cause,
                    took_ms = took,
                    "stream not resumed for its caller: the version that began it is unknown"
                );
                Err(Refused::unknown_version())
            }
        }
    }

    /// Returns what may crash endpoints, and counts what was not read of it.
    fn subject(&self, parts: &Parts, head: &Head, body: &Bytes) -> Subject {
        if head.unread_parts > 0 {
            let unread = u64::try_from(head.unread_parts).unwrap_or(u64::MAX);
            self.metrics.unread_parts.inc_by(unread);
            tracing::info!(
                id = head.correlation_id,
                unread,
                read = head.parts.len(),
                "parts of the prompt are not read: they are no ids, or too many"
            );
        }
        Subject {
            request: fingerprint(parts, head, body),
            parts: head.parts.iter().copied().map(Into::into).collect(),
        }
    }

    /// Refuses requests that are known to crash endpoints, or whose prompts have a part
    /// that is, unless this one is a trial.
    async fn check_quarantine(
        &self,
        correlation_id: &str,
        subject: &Subject,
    ) -> Result<(), Refused> {
        let refused = self
            .crashes
            .read(|detector, now| detector.refused(now, subject));
        if refused.is_none() || self.crashes.obtain_trials(subject).await {
            return Ok(());
        }
        Err(self.refuse_quarantined(correlation_id, subject, false))
    }

    /// Charges a request against its workspace's quota; returns its tier.
    fn charge(
        &self,
        plan: &Plan,
        route: &Route,
        workspace: Option<&id::Workspace>,
        head: &Head,
    ) -> Result<id::Tier, Refused> {
        let known = plan.workspaces.as_ref().zip(workspace);
        let Some((name, settings)) =
            known.and_then(|(all, name)| all.names.get(name).map(|settings| (name, settings)))
        else {
            return Ok(route.tier);
        };
        if let Some(quota) = &settings.quota {
            let tokens = head.tokens.map(|(prompt, output)| prompt + output);
            let cost = quota.cost(tokens);
            let now = self.clock.now();
            let admitted = lock(&self.limiter).admit(now, name, quota, cost);
            if let Err(exhausted) = admitted {
                tracing::info!(
                    id = head.correlation_id,
                    workspace = %name,
                    cost,
                    level = exhausted.level,
                    fresh = exhausted.unreported,
                    share = exhausted.share,
                    silent = exhausted.silent_share,
                    rate = quota.rate,
                    "quota used up"
                );
                return Err(Refused::from_core(refusal::Refusal {
                    reason: refusal::Reason::Limit,
                    retry_after: exhausted.retry_after,
                }));
            }
        }
        Ok(settings.tier.unwrap_or(route.tier))
    }
}

/// Refuses a request that was not read to its end, so that its connection must
/// be closed.
fn refuse_and_close(problem: dottereltally::problem::Problem) -> Refused {
    let retry_after = (problem.reason() == Reason::NoMemory).then_some(MEMORY_RETRY_AFTER);
    Refused {
        problem,
        retry_after,
        close: true,
    }
}

/// Returns the id of the event after which a caller resumes a stream; `None` if
/// the request begins one or has none.
fn resumed_after(route: &Route, head: &Head) -> Option<u64> {
    let resumable = route.streaming && route.retry == Retry::Resume;
    head.last_event_id.filter(|_| resumable)
}

/// Returns the host that a request names.
fn host(headers: &HeaderMap) -> Result<&str, Refused> {
    let mut values = headers.get_all(HOST).iter();
    let host = values.next().and_then(|host| host.to_str().ok());
    match (host, values.next()) {
        (Some(host), None) => Ok(host),
        _ => Err(Refused::unsent(
            StatusCode::BAD_REQUEST,
            Reason::Malformed,
            "send one `host` header",
        )
        .closing()),
    }
}

/// Finds the caller's workspace by its key; `None` where no key is needed.
fn workspace(plan: &Plan, route: &Route, head: &Head) -> Result<Option<id::Workspace>, Refused> {
    let Some(workspaces) = &plan.workspaces else {
        return Ok(None);
    };
    if route.anonymous {
        return Ok(None);
    }
    let known = head.key.as_ref().and_then(|key| workspaces.keys.get(key));
    known.cloned().map(Some).ok_or_else(|| {
        Refused::unsent(
            StatusCode::UNAUTHORIZED,
            Reason::Unauthenticated,
            "send `authorization: Bearer KEY` with a workspace's key",
        )
    })
}

/// Returns the tokens of the prompt and of the expected answer; zeros if the
/// caller sent no token counts.
fn expected_tokens(head: &Head) -> (u64, u64) {
    let Some((prompt, max_output)) = head.tokens else {
        return (0, 0);
    };
    let expected = head.expected_output.unwrap_or(max_output);
    (prompt, expected.clamp(1, max_output.max(1)))
}

fn hash(parts: &[&[u8]]) -> u64 {
    let mut hasher = Xxh3::new();
    for part in parts {
        hasher.update(part);
        hasher.update(&[0]);
    }
    hasher.digest()
}

/// Returns a hash that is equal when the same caller sends the same request
/// again.
#[must_use]
pub fn fingerprint(parts: &Parts, head: &Head, body: &Bytes) -> id::Fingerprint {
    let key = head.key.as_deref().unwrap_or_default();
    let target = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    id::Fingerprint::of_request(hash(&[
        parts.method.as_str().as_bytes(),
        target.as_bytes(),
        key.as_bytes(),
        body,
    ]))
}

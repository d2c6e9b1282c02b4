//! Whether the process that this node's directory names is the one that answers at an endpoint.
//!
//! A process that is to be replaced says so in the directory, and serves for the drain time
//! after that. What was read is certain for as long: no other process, with another software
//! version, has taken its place yet. A node that has not read the directory since, and has no
//! witness (see [`crate::witness`]), asks the endpoint itself. Engines tell in their reports when
//! their process started; of other endpoints such a node knows nothing for certain. An endpoint
//! at which another process answers stays in use, but without the version that was listed.

use std::{io, time::Duration};

use derive_more::Display;
use dottereltally_lib::{endpoint::Record, id};

use crate::{
    chain::Chain, dialect::Dialect, listing::Found, logging::millis, metrics::Confirmation, probe,
};

/// Why it is not certain which process answers at an endpoint.
#[derive(Debug, Display)]
pub enum Doubt {
    /// The endpoint is not listed, or its entry names no process.
    #[display("no process of the endpoint is listed")]
    Unlisted,
    /// The directory was not read for too long, and endpoints of the service don't tell.
    #[display("the directory was not read lately, and the service's endpoints have no report")]
    NoReport,
    /// Another process answers.
    #[display("its process started at {_0} ms")]
    Other(u64),
    /// The endpoint's report does not name its process.
    #[display("its report names no process")]
    Unnamed,
    /// The endpoint did not answer.
    #[display("its report was not received: {_0}")]
    Unreachable(io::Error),
}

impl Doubt {
    /// Returns how the question ended, for the metrics.
    fn confirmation(&self) -> Confirmation {
        match self {
            Self::Other(_) => Confirmation::Other,
            _ => Confirmation::Unknown,
        }
    }
}

impl<D: Dialect> Chain<D> {
    /// Returns whether what this node knows of the directory is certain to hold.
    #[must_use]
    pub fn is_directory_current(&self) -> bool {
        self.is_current(self.view.age())
    }

    /// Returns whether what was read that long ago, if at all, is certain to hold.
    #[must_use]
    pub fn is_current(&self, age: Option<Duration>) -> bool {
        age.is_some_and(|age| age <= self.drain_time)
    }

    /// Returns whether it can be found out which process answers at endpoints of a service.
    #[must_use]
    pub fn can_confirm_processes(&self, service: &id::Service) -> bool {
        self.is_directory_current() || self.has_reports(service)
    }

    /// Returns whether the endpoints of a service tell which process they are.
    fn has_reports(&self, service: &id::Service) -> bool {
        let plan = self.plan.borrow();
        let service = plan.as_ref().and_then(|plan| plan.services.get(service));
        service.is_some_and(|service| service.engine)
    }

    /// Finds out whether the listed process of an endpoint is the one that answers there, and
    /// so on each connection that was opened before this call.
    ///
    /// # Errors
    ///
    /// Fails with the reason why that is not certain.
    pub async fn confirm_process(&self, endpoint: &id::Endpoint) -> Result<(), Doubt> {
        if self.is_directory_current() {
            return Ok(());
        }
        let started = self.clock.now();
        let confirmed = self.ask_process(endpoint).await;
        let confirmation = match &confirmed {
            Ok(()) => Confirmation::Same,
            Err(doubt) => doubt.confirmation(),
        };
        self.metrics.confirmation(confirmation);
        if let Err(doubt) = &confirmed {
            tracing::info!(
                %endpoint,
                born = self.listed_start(endpoint),
                view_age_ms = self.view.age().map(millis),
                cause = %doubt,
                took_ms = millis(self.clock.now().since(started)),
                "process of an endpoint is not certain"
            );
        }
        confirmed
    }

    async fn ask_process(&self, endpoint: &id::Endpoint) -> Result<(), Doubt> {
        let listed: Option<(Record, u64)> = self.admission.read(|dispatcher| {
            let record = dispatcher.record(endpoint)?.clone();
            Some((record, dispatcher.started_ms(endpoint)?))
        });
        let (record, listed_start) = listed.ok_or(Doubt::Unlisted)?;
        if !self.has_reports(&record.service) {
            return Err(Doubt::NoReport);
        }
        let asking = probe::process(self, endpoint, &record.address, &record.service);
        let process = asking.await.map_err(Doubt::Unreachable)?;
        match process.started_ms {
            Some(start) if start == listed_start => Ok(()),
            Some(started_ms) => {
                if process.is_leaving {
                    self.admission.record_found_leaving(endpoint, started_ms);
                }
                self.view.record_found(Found {
                    endpoint: endpoint.clone(),
                    listed_ms: listed_start,
                    started_ms,
                });
                Err(Doubt::Other(started_ms))
            }
            None => Err(Doubt::Unnamed),
        }
    }
}

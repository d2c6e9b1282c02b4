//! What the nodes counted for a roll-out.
//!
//! Counts are totals since the order for each process, so that a lost heartbeat loses
//! nothing, and the highest ones that were heard count. The sum for a data centre that a
//! coordinator reports and the sum over its nodes are lower bounds of the same number, of
//! which the higher one is used: no request is counted twice, whoever coordinates.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use dottereltally_lib::{
    exchange::Scope,
    id,
    rollout::{Counts, Group, Report, Samples, Step},
    time,
};

use super::{CONTACT_TIME, SILENCE_TIME, Sender};

/// Whose requests a report is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Subject {
    /// One process of a node.
    Process(id::DataCentre, id::Node, u64),
    /// The nodes of a data centre.
    DataCentre(id::DataCentre),
    /// All nodes but this one.
    Fleet,
}

impl From<&Sender> for Subject {
    fn from(sender: &Sender) -> Self {
        match sender.scope {
            Scope::Node => Self::Process(
                sender.data_centre.clone(),
                sender.node.clone(),
                sender.incarnation,
            ),
            Scope::DataCentre => Self::DataCentre(sender.data_centre.clone()),
            Scope::Fleet => Self::Fleet,
        }
    }
}

/// The other nodes, and when they were heard.
#[derive(Clone, Debug, Default)]
pub(super) struct Nodes(BTreeMap<id::Node, (Subject, time::Instant)>);

impl Nodes {
    /// Records a heartbeat.
    pub(super) fn record(&mut self, now: time::Instant, sender: &Sender) {
        self.0
            .insert(sender.node.clone(), (Subject::from(sender), now));
    }

    /// Returns the subjects of the nodes that were heard within a time.
    fn heard_within(
        &self,
        now: time::Instant,
        time: Duration,
    ) -> impl Iterator<Item = (&id::Node, &Subject)> {
        let heard = self.0.iter();
        heard
            .filter(move |(_, (_, at))| now.since(*at) < time)
            .map(|(node, (subject, _))| (node, subject))
    }

    /// Returns the subjects of the nodes that are not silent.
    fn live(&self, now: time::Instant) -> impl Iterator<Item = (&id::Node, &Subject)> {
        self.heard_within(now, SILENCE_TIME)
    }
}

/// The counts of one roll-out.
#[derive(Clone, Debug, Default)]
pub(super) struct Evidence {
    own: Report,
    heard: BTreeMap<Subject, Report>,
}

impl Evidence {
    /// Counts requests of this node.
    pub(super) fn record(&mut self, route: &id::Route, group: Group, counts: Counts) {
        self.own.record(route, group, counts);
    }

    /// Takes back a request of this node that was counted as sent.
    pub(super) fn withdraw(&mut self, route: &id::Route, group: Group) {
        self.own.withdraw(route, group);
    }

    /// Forgets the step and the running requests that a sender reported before: its process or
    /// that of its predecessor does not know the order.
    pub(super) fn forget_step(&mut self, sender: &Sender) {
        if let Some(known) = self.heard.get_mut(&Subject::from(sender)) {
            known.step = Step::default();
            known.baseline_in_flight = 0;
        }
    }

    /// Returns the counts of this node.
    pub(super) fn own(&self) -> &Samples {
        &self.own.samples
    }

    /// Applies a report on the order in force.
    pub(super) fn apply(&mut self, sender: &Sender, report: &Report) {
        let known = self.heard.entry(Subject::from(sender)).or_default();
        let mut samples = std::mem::take(&mut known.samples);
        raise(&mut samples, &report.samples);
        *known = report.clone();
        known.samples = samples;
    }

    /// Returns the number of nodes that were heard at this step within the contact time, each
    /// of them once: the most that one kind of report shows.
    pub(super) fn count_at_step(&self, now: time::Instant, nodes: &Nodes, step: Step) -> u32 {
        let heard: BTreeSet<&Subject> = nodes
            .heard_within(now, CONTACT_TIME)
            .map(|(_, subject)| subject)
            .collect();
        let (mut fleet, mut processes) = (0, BTreeMap::<_, u32>::new());
        let mut data_centres = BTreeMap::<_, u32>::new();
        for subject in heard {
            let Some(report) = self.heard.get(subject) else {
                continue;
            };
            if report.step != step {
                continue;
            }
            match subject {
                Subject::Fleet => fleet = report.nodes,
                Subject::DataCentre(name) => {
                    data_centres.insert(name, report.nodes);
                }
                Subject::Process(name, ..) => *processes.entry(name).or_default() += 1,
            }
        }
        for (name, count) in processes {
            let known = data_centres.entry(name).or_default();
            *known = count.max(*known);
        }
        let sum = data_centres.into_values().fold(0, u32::saturating_add);
        sum.max(fleet)
    }

    /// Returns the report on the nodes of this data centre; `own` is that of this node.
    pub(super) fn data_centre(
        &self,
        now: time::Instant,
        mut own: Report,
        nodes: &Nodes,
        data_centre: &id::DataCentre,
    ) -> Report {
        let step = own.step;
        for (node, subject) in nodes.live(now) {
            if matches!(subject, Subject::Process(other, ..) if other == data_centre) {
                self.merge_live(&mut own, node, subject, step);
            }
        }
        for (subject, report) in &self.heard {
            if matches!(subject, Subject::Process(other, ..) if other == data_centre) {
                add(&mut own, &report.samples);
            }
        }
        own
    }

    /// Returns the report on all nodes, or on all but the one that it is for; `own` is that
    /// of this node.
    pub(super) fn fleet(
        &self,
        now: time::Instant,
        mut own: Report,
        nodes: &Nodes,
        data_centre: &id::DataCentre,
        receiver: Option<&id::Node>,
    ) -> Report {
        let step = own.step;
        let live: Vec<_> = nodes.live(now).collect();
        let mut summed = BTreeSet::new();
        for (_, subject) in &live {
            if let Subject::DataCentre(other) = subject
                && other != data_centre
            {
                summed.insert(other);
            }
        }
        let mut unused = summed.clone();
        for (node, subject) in &live {
            let is_used = match subject {
                Subject::Process(other, ..) => !summed.contains(other),
                Subject::DataCentre(other) => unused.remove(other),
                Subject::Fleet => false,
            };
            if is_used && receiver != Some(*node) {
                self.merge_live(&mut own, node, subject, step);
            }
        }
        let mut totals: BTreeMap<&id::DataCentre, Report> = BTreeMap::new();
        for (subject, report) in &self.heard {
            match subject {
                Subject::Process(_, node, _) if receiver == Some(node) => {}
                Subject::Process(other, ..) => {
                    add(totals.entry(other).or_default(), &report.samples);
                }
                Subject::DataCentre(_) | Subject::Fleet => {}
            }
        }
        for (subject, report) in &self.heard {
            if let Subject::DataCentre(other) = subject
                && other != data_centre
            {
                raise(
                    &mut totals.entry(other).or_default().samples,
                    &report.samples,
                );
            }
        }
        let mut others = Report::default();
        for total in totals.values() {
            add(&mut others, &total.samples);
        }
        if receiver.is_none()
            && let Some(report) = self.heard.get(&Subject::Fleet)
        {
            raise(&mut others.samples, &report.samples);
        }
        add(&mut own, &others.samples);
        own
    }

    /// Adds the step and the running requests of nodes that are heard. A node that does not
    /// know the order counts as one at step zero.
    fn merge_live(&self, sum: &mut Report, node: &id::Node, subject: &Subject, step: Step) {
        let report = self.heard.get(subject);
        let mut live = report.map_or_else(
            || Report {
                nodes: 1,
                order: sum.order,
                ..Report::default()
            },
            |report| Report {
                samples: Samples::new(),
                ..report.clone()
            },
        );
        if live.step < step && live.lagging.is_empty() {
            live.lagging.push(node.clone());
        }
        sum.merge(&live);
    }
}

/// Adds counts to a report.
fn add(sum: &mut Report, samples: &Samples) {
    for ((route, group), counts) in samples {
        sum.record(route, *group, *counts);
    }
}

/// Raises each count to that of other samples if that is higher.
fn raise(samples: &mut Samples, other: &Samples) {
    for (key, counts) in other {
        let known = samples.entry(key.clone()).or_default();
        known.sent = known.sent.max(counts.sent);
        known.answered = known.answered.max(counts.answered);
        known.failed = known.failed.max(counts.failed);
        known.slow = known.slow.max(counts.slow);
    }
}

//! Compares the fair queue with a version that scans a list.

mod property;

use std::collections::BTreeMap;

use dottereltally_lib::{
    fair::{Item, Queue},
    id,
    time::Instant,
};
use proptest::prelude::*;

/// The constant of the same name in the queue.
const VIRTUAL_TIME_PER_TOKEN: u64 = 1 << 20;

/// Start-time fair queueing that scans all items for each operation.
#[derive(Default)]
struct Reference {
    virtual_time: u64,
    items: Vec<Item>,
    virtual_starts: BTreeMap<id::Workspace, u64>,
}

impl Reference {
    fn push(&mut self, item: Item) {
        if !self
            .items
            .iter()
            .any(|each| each.workspace == item.workspace)
        {
            let start = self
                .virtual_starts
                .entry(item.workspace.clone())
                .or_insert(0);
            *start = (*start).max(self.virtual_time);
        }
        self.items.push(item);
    }

    fn next(&self) -> Option<Item> {
        let key = |item: &&Item| {
            let start = self.virtual_starts[&item.workspace];
            (start, item.workspace.clone(), item.deadline, item.id)
        };
        self.items.iter().min_by_key(key).cloned()
    }

    fn pop(&mut self) -> Option<id::Request> {
        let item = self.next()?;
        self.items.retain(|each| each.id != item.id);
        let start = self.virtual_starts.get_mut(&item.workspace)?;
        self.virtual_time = self.virtual_time.max(*start);
        *start += item.cost * VIRTUAL_TIME_PER_TOKEN / u64::from(item.share);
        self.reset();
        Some(item.id)
    }

    fn remove(&mut self, request: id::Request) {
        self.items.retain(|each| each.id != request);
        self.reset();
    }

    fn reset(&mut self) {
        if self.items.is_empty() {
            *self = Self::default();
        }
    }

    fn tokens_ahead(&self, workspace: &id::Workspace, share: u32) -> u64 {
        let of = |item: &&Item| item.workspace == *workspace;
        let workspace_tokens: u64 = self.items.iter().filter(of).map(|item| item.cost).sum();
        let all_tokens: u64 = self.items.iter().map(|item| item.cost).sum();
        let mut shares = BTreeMap::from([(workspace.clone(), share)]);
        for item in &self.items {
            shares.insert(item.workspace.clone(), item.share);
        }
        let shares: u64 = shares.values().map(|share| u64::from(*share)).sum();
        (workspace_tokens * shares / u64::from(share)).min(all_tokens)
    }
}

#[derive(Clone, Debug)]
enum Step {
    Push {
        workspace: u8,
        cost: u64,
        deadline: u64,
    },
    Pop,
    Remove(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..6u8, 1..5000u64, 0..100u64)
            .prop_map(|(workspace, cost, deadline)| Step::Push { workspace, cost, deadline }),
        2 => Just(Step::Pop),
        1 => any::<usize>().prop_map(Step::Remove),
    ]
}

proptest! {
    #![proptest_config(property::config())]

    #[test]
    fn fair_queue_matches_a_scan(steps in proptest::collection::vec(step(), 1..120)) {
        let mut queue = Queue::default();
        let mut reference = Reference::default();
        for (number, step) in steps.into_iter().enumerate() {
            match step {
                Step::Push { workspace, cost, deadline } => {
                    let item = Item {
                        id: id::Request(number as u64),
                        workspace: format!("w{workspace}").into(),
                        share: u32::from(workspace) + 1,
                        deadline: Instant::from_micros(deadline),
                        cost,
                    };
                    queue.push(&item);
                    reference.push(item);
                }
                Step::Pop => prop_assert_eq!(queue.pop(), reference.pop()),
                Step::Remove(index) if !reference.items.is_empty() => {
                    let item = reference.items[index % reference.items.len()].clone();
                    prop_assert!(queue.remove(&item));
                    reference.remove(item.id);
                }
                Step::Remove(_) => {}
            }
            prop_assert_eq!(queue.len(), reference.items.len());
            prop_assert_eq!(queue.peek(), reference.next().map(|item| item.id));
            let tokens: u64 = reference.items.iter().map(|item| item.cost).sum();
            prop_assert_eq!(queue.tokens(), tokens);
            for workspace in 0..6u8 {
                let name = format!("w{workspace}").into();
                let share = u32::from(workspace) + 1;
                prop_assert_eq!(queue.tokens_ahead(&name, share), reference.tokens_ahead(&name, share));
            }
        }
    }
}

#[test]
fn shares_of_served_tokens_follow_the_weights() {
    let mut queue = Queue::default();
    for number in 0..3000u64 {
        let large = number % 3 != 0;
        queue.push(&Item {
            id: id::Request(number),
            workspace: if large { "large" } else { "small" }.into(),
            share: if large { 1 } else { 3 },
            deadline: Instant::from_micros(number),
            cost: 100,
        });
    }
    let mut small = 0;
    for _ in 0..1000 {
        let request = queue.pop().expect("backlogged");
        if request.0 % 3 == 0 {
            small += 1;
        }
    }
    assert!((749..=751).contains(&small), "{small} of 1000");
}

#[test]
fn idle_workspaces_are_forgotten() {
    let mut queue = Queue::default();
    for number in 0..33_000u64 {
        queue.push(&Item {
            id: id::Request(number),
            workspace: format!("w{number}").into(),
            share: 1,
            deadline: Instant::from_micros(0),
            cost: 1,
        });
    }
    while queue.len() > 1 {
        queue.pop();
    }
    assert_eq!(
        queue.tracked_workspaces(),
        33_000,
        "all have the same start time"
    );
    queue.pop();
    assert_eq!(queue.tracked_workspaces(), 0);
}

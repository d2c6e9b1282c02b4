//! Compares the fair queue with a version that scans a list.

mod property;

use std::collections::BTreeMap;

use dottereltally_lib::{
    fair::{Fair, Item},
    id,
    time::Instant,
};
use proptest::prelude::*;

const SCALE: u64 = 1 << 20;

/// Start-time fair queueing that scans all items for each operation.
#[derive(Default)]
struct Naive {
    now: u64,
    items: Vec<Item>,
    starts: BTreeMap<id::Workspace, u64>,
}

impl Naive {
    fn push(&mut self, item: Item) {
        if !self
            .items
            .iter()
            .any(|each| each.workspace == item.workspace)
        {
            let start = self.starts.entry(item.workspace.clone()).or_insert(0);
            *start = (*start).max(self.now);
        }
        self.items.push(item);
    }

    fn next(&self) -> Option<Item> {
        let key = |item: &&Item| {
            let start = self.starts[&item.workspace];
            (start, item.workspace.clone(), item.deadline, item.id)
        };
        self.items.iter().min_by_key(key).cloned()
    }

    fn pop(&mut self) -> Option<id::Request> {
        let item = self.next()?;
        self.items.retain(|each| each.id != item.id);
        let start = self.starts.get_mut(&item.workspace)?;
        self.now = self.now.max(*start);
        *start += item.cost * SCALE / u64::from(item.share);
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

    fn ahead(&self, workspace: &id::Workspace, share: u32) -> u64 {
        let of = |item: &&Item| item.workspace == *workspace;
        let own: u64 = self.items.iter().filter(of).map(|item| item.cost).sum();
        let all: u64 = self.items.iter().map(|item| item.cost).sum();
        let mut shares = BTreeMap::from([(workspace.clone(), share)]);
        for item in &self.items {
            shares.insert(item.workspace.clone(), item.share);
        }
        let shares: u64 = shares.values().map(|share| u64::from(*share)).sum();
        (own * shares / u64::from(share)).min(all)
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
    fn fair_queue_agrees_with_a_scan(steps in proptest::collection::vec(step(), 1..120)) {
        let mut fair = Fair::default();
        let mut naive = Naive::default();
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
                    fair.push(&item);
                    naive.push(item);
                }
                Step::Pop => prop_assert_eq!(fair.pop(), naive.pop()),
                Step::Remove(index) if !naive.items.is_empty() => {
                    let item = naive.items[index % naive.items.len()].clone();
                    prop_assert!(fair.remove(&item));
                    naive.remove(item.id);
                }
                Step::Remove(_) => {}
            }
            prop_assert_eq!(fair.len(), naive.items.len());
            prop_assert_eq!(fair.peek(), naive.next().map(|item| item.id));
            let tokens: u64 = naive.items.iter().map(|item| item.cost).sum();
            prop_assert_eq!(fair.tokens(), tokens);
            for workspace in 0..6u8 {
                let name = format!("w{workspace}").into();
                let share = u32::from(workspace) + 1;
                prop_assert_eq!(fair.ahead(&name, share), naive.ahead(&name, share));
            }
        }
    }
}

#[test]
fn shares_of_served_tokens_follow_the_weights() {
    let mut fair = Fair::default();
    for number in 0..3000u64 {
        let large = number % 3 != 0;
        fair.push(&Item {
            id: id::Request(number),
            workspace: if large { "large" } else { "small" }.into(),
            share: if large { 1 } else { 3 },
            deadline: Instant::from_micros(number),
            cost: 100,
        });
    }
    let mut small = 0;
    for _ in 0..1000 {
        let request = fair.pop().expect("backlogged");
        if request.0 % 3 == 0 {
            small += 1;
        }
    }
    assert!((749..=751).contains(&small), "{small} of 1000");
}

#[test]
fn idle_workspaces_are_forgotten() {
    let mut fair = Fair::default();
    for number in 0..33_000u64 {
        fair.push(&Item {
            id: id::Request(number),
            workspace: format!("w{number}").into(),
            share: 1,
            deadline: Instant::from_micros(0),
            cost: 1,
        });
    }
    while fair.len() > 1 {
        fair.pop();
    }
    assert_eq!(fair.workspaces(), 33_000, "all have the same start time");
    fair.pop();
    assert_eq!(fair.workspaces(), 0);
}

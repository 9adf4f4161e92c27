//! Mirrors of a store that goes back, under random interleavings of writes, losses, reads, peers' words that come late
//! or never, and daemons that start again.

#[path = "mirror/stand_ins.rs"]
mod stand_ins;

use proptest::prelude::*;
use stand_ins::{Node, node};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};
use tidestair::gateway::port::{Change, Entry};
use tidestair::gateway::update::{CopyStatus, Update};
use tidestair::platform::Position;

const NODES: usize = 3;
const SERVERS: u8 = 3;

/// What the store holds, and its history.
#[derive(Debug, Clone, Default)]
struct Contents {
    revision: u64,
    items: BTreeMap<String, (String, u64)>,
    history: Vec<(String, Option<String>, u64)>,
    /// Changes up to here are forgotten.
    compacted: u64,
    /// Writes from outside so far.
    outside: usize,
    /// Those that are lost and to be made again.
    due: BTreeSet<usize>,
}

/// A store that loses its last changes at times.
#[derive(Debug, Default)]
struct Store {
    era: u64,
    now: Contents,
    copies: Vec<Contents>,
    /// What was written from outside.
    outside: Vec<(String, Option<String>)>,
}

impl Store {
    fn at(&self, revision: u64) -> Position {
        Position::new(self.era, revision)
    }

    fn position(&self) -> Position {
        self.at(self.now.revision)
    }

    /// What an operator or a server writes.
    fn write(&mut self, key: &str, value: Option<String>) {
        self.outside.push((key.into(), value.clone()));
        self.now.outside = self.outside.len();
        self.put(key, value);
    }

    fn put(&mut self, key: &str, value: Option<String>) {
        let contents = &mut self.now;
        contents.revision += 1;
        match &value {
            Some(value) => contents.items.insert(key.into(), (value.clone(), contents.revision)),
            None => contents.items.remove(key),
        };
        contents.history.push((key.into(), value, contents.revision));
    }

    fn copy(&mut self) {
        self.copies.push(self.now.clone());
    }

    fn go_back(&mut self, to: usize) {
        let Some(mut copy) = self.copies.iter().rev().nth(to).cloned() else {
            return;
        };
        copy.due.extend(copy.outside..self.outside.len());
        self.now = copy;
        self.era += 1;
    }

    /// Its writers have found out what is lost.
    fn write_again(&mut self) {
        for n in std::mem::take(&mut self.now.due) {
            let (key, value) = self.outside[n].clone();
            let last = self.outside.iter().rposition(|(other, _)| *other == key);
            if last == Some(n) {
                self.put(&key, value);
            }
        }
        self.now.outside = self.outside.len();
    }

    fn entries(&self) -> Vec<Entry> {
        let entry = |(key, (value, revision)): (&String, &(String, u64))| Entry {
            key: key.clone(),
            value: value.as_bytes().to_vec(),
            revision: self.at(*revision),
        };
        self.now.items.iter().map(entry).collect()
    }

    fn read(&self, node: &Node, whole: bool, now: Instant) {
        node.mirror.store_answered(now, now);
        let after = node.mirror.position();
        let is_known = after.era == self.era && after.revision >= self.now.compacted;
        if whole || after.is_start() || !is_known {
            return node.mirror.replace(self.entries(), self.position(), now, now);
        }
        let newer = self.now.history.iter().filter(|(_, _, revision)| *revision > after.revision);
        let change = |(key, value, revision): &(String, Option<String>, u64)| Change {
            key: key.clone(),
            value: value.as_ref().map(|value| value.as_bytes().to_vec()),
            revision: self.at(*revision),
        };
        node.mirror.advance(newer.map(change).collect(), self.position(), now, now);
    }

    /// The last version that was written, and whether a key was revoked by it or dropped before it.
    fn last_version(&self) -> u64 {
        let versions = self.outside.iter().filter(|(key, _)| key == "config");
        versions.filter_map(|(_, value)| value.as_ref()?.parse().ok()).max().unwrap_or(0)
    }
}

#[derive(Debug, Clone)]
enum Act {
    Declare,
    /// A server starts, says that it leaves, shows a sign of life, or goes.
    Start(u8),
    Leave(u8),
    Live(u8),
    Go(u8),
    /// A hall is closed or taken back.
    Hall(u8, bool),
    Copy,
    /// The store goes back to one of its last copies.
    GoBack(usize),
    WriteAgain,
    Compact,
    Read(usize, bool),
    /// A node's words of now, or of some steps ago, reach another one.
    Tell(usize, usize, u8),
    Give(usize, usize, bool),
    /// What one gave another some steps ago arrives.
    GiveLate(usize, usize, u8),
    /// A daemon starts again.
    Restart(usize),
    Wait(u16),
}

fn act() -> impl Strategy<Value = Act> {
    let node = || 0..NODES;
    let server = || 0..SERVERS;
    prop_oneof![
        2 => Just(Act::Declare),
        1 => server().prop_map(Act::Start),
        1 => server().prop_map(Act::Leave),
        1 => server().prop_map(Act::Live),
        1 => server().prop_map(Act::Go),
        1 => (0u8..2, any::<bool>()).prop_map(|(n, closed)| Act::Hall(n, closed)),
        1 => Just(Act::Copy),
        1 => (0usize..3).prop_map(Act::GoBack),
        2 => Just(Act::WriteAgain),
        1 => Just(Act::Compact),
        4 => (node(), any::<bool>()).prop_map(|(n, whole)| Act::Read(n, whole)),
        3 => (node(), node(), 0u8..4).prop_map(|(a, b, late)| Act::Tell(a, b, late)),
        3 => (node(), node(), any::<bool>()).prop_map(|(a, b, all)| Act::Give(a, b, all)),
        1 => (node(), node(), 0u8..4).prop_map(|(a, b, late)| Act::GiveLate(a, b, late)),
        1 => node().prop_map(Act::Restart),
        2 => (1u16..900).prop_map(Act::Wait),
    ]
}

/// A server's last start.
#[derive(Debug, Clone, Copy)]
struct Start {
    born: u64,
    leaves: bool,
    gone: bool,
    lives: u64,
}

struct World {
    store: Store,
    nodes: Vec<Node>,
    starts: BTreeMap<u8, Start>,
    closed: BTreeSet<u8>,
    version: u64,
    now: Instant,
    said: Vec<(usize, CopyStatus, Instant)>,
    given: Vec<(usize, Update, Instant)>,
    /// The highest version that each node had in force since it started.
    highest: [u64; NODES],
    /// Starts of servers that each node knew to leave.
    leaving: [BTreeSet<(u8, u64)>; NODES],
}

impl World {
    fn new() -> World {
        let now = Instant::now() + Duration::from_secs(60);
        World {
            store: Store::default(),
            nodes: (0..NODES).map(|_| node(now)).collect(),
            starts: BTreeMap::new(),
            closed: BTreeSet::new(),
            version: 0,
            now,
            said: Vec::new(),
            given: Vec::new(),
            highest: [0; NODES],
            leaving: Default::default(),
        }
    }

    fn write_server(&mut self, n: u8) {
        let Some(start) = self.starts.get(&n) else {
            return;
        };
        let state = if start.leaves { "leaving" } else { "ready" };
        let value = (!start.gone).then(|| format!("{state}@{}.{}", start.born, start.lives));
        self.store.write(&format!("servers/{n}"), value);
    }

    fn change_server(&mut self, n: u8, change: impl FnOnce(&mut Start)) {
        if let Some(start) = self.starts.get_mut(&n).filter(|start| !start.gone) {
            change(start);
            self.write_server(n);
        }
    }

    fn take(&mut self, act: Act) {
        let now = self.now;
        match act {
            Act::Declare => {
                self.version += 1;
                self.store.write("config", Some(self.version.to_string()));
            }
            Act::Start(n) => {
                let born = self.starts.get(&n).map_or(1, |start| start.born + 1);
                self.starts.insert(n, Start { born, leaves: false, gone: false, lives: 0 });
                self.write_server(n);
            }
            Act::Leave(n) => self.change_server(n, |start| start.leaves = true),
            Act::Live(n) => self.change_server(n, |start| start.lives += 1),
            Act::Go(n) => self.change_server(n, |start| start.gone = true),
            Act::Hall(n, closed) => {
                match closed {
                    true => self.closed.insert(n),
                    false => self.closed.remove(&n),
                };
                let value = closed.then(String::new);
                self.store.write(&format!("closed/hall-{n}"), value);
            }
            Act::Copy => self.store.copy(),
            Act::GoBack(to) => self.store.go_back(to),
            Act::WriteAgain => self.store.write_again(),
            Act::Compact => self.store.now.compacted = self.store.now.revision,
            Act::Read(n, whole) => self.store.read(&self.nodes[n], whole, now),
            Act::Tell(from, to, late) => {
                if let Some(statement) = self.nodes[from].mirror.copy_status(now) {
                    self.said.push((to, statement, now));
                }
                let at = self.said.len().saturating_sub(1 + usize::from(late));
                if let Some((to, statement, sent)) = self.said.get(at).copied() {
                    let seen = sent - Duration::from_millis(statement.age_ms.into());
                    self.nodes[to].mirror.receive_status(statement, seen, now);
                }
            }
            Act::Give(from, to, all) if from != to => {
                self.keep_update(from, to);
                self.nodes[from].give(&self.nodes[to], all, now);
            }
            Act::Give(..) => {}
            Act::GiveLate(from, to, late) => {
                self.keep_update(from, to);
                let at = self.given.len().saturating_sub(1 + usize::from(late));
                if let Some((to, update, sent)) = self.given.get(at).cloned() {
                    let seen = sent - Duration::from_millis(update.copy_status.age_ms.into());
                    self.nodes[to].mirror.apply(update, seen, now);
                }
            }
            Act::Restart(n) => {
                self.nodes[n] = node(now);
                self.highest[n] = 0;
                self.leaving[n].clear();
                self.given.retain(|(to, ..)| *to != n);
                self.said.retain(|(to, ..)| *to != n);
            }
            Act::Wait(ms) => self.now += Duration::from_millis(ms.into()),
        }
    }

    fn keep_update(&mut self, from: usize, to: usize) {
        let position = self.nodes[to].mirror.position();
        if let Some(update) = self.nodes[from].mirror.complete_update_after(position, self.now)
            && from != to
        {
            self.given.push((to, update, self.now));
        }
    }

    /// What was in force never goes back, whatever the store has lost.
    fn check(&mut self) -> Result<(), TestCaseError> {
        for n in 0..NODES {
            let node = &self.nodes[n];
            let version = node.version();
            prop_assert!(
                version >= self.highest[n],
                "node {n} went from version {} to {version}",
                self.highest[n]
            );
            self.highest[n] = version;
            let servers = node.gateway.servers();
            for id in 0..SERVERS {
                let server = servers.find(&id.to_string()).and_then(|key| servers.get(key));
                let Some((server, born)) = server.and_then(|s| Some((s, s.record.started_ms?)))
                else {
                    continue;
                };
                if server.record.leaving {
                    self.leaving[n].insert((id, born));
                }
                prop_assert!(
                    !server.is_open() || !self.leaving[n].contains(&(id, born)),
                    "node {n} uses server {id}, which had said that it leaves"
                );
            }
        }
        Ok(())
    }

    /// All is written again, and one node after the other reads the store or hears of it from the one before.
    fn settle(&mut self) -> Result<(), TestCaseError> {
        self.store.write_again();
        for n in 0..SERVERS {
            self.change_server(n, |start| start.lives += 1);
        }
        let now = self.now;
        self.store.read(&self.nodes[0], false, now);
        for n in 1..NODES {
            self.nodes[n - 1].give(&self.nodes[n], true, now);
        }
        let later = now + Duration::from_secs(31);
        let open = self.starts.iter().filter(|(_, start)| !start.leaves && !start.gone);
        let open = open.filter(|(n, _)| !self.closed.contains(&(**n % 2)));
        let open: BTreeSet<String> = open.map(|(n, _)| n.to_string()).collect();
        for (n, node) in self.nodes.iter().enumerate() {
            node.mirror.expire(later);
            prop_assert_eq!(node.mirror.position(), self.store.position(), "node {}", n);
            prop_assert_eq!(node.version(), self.store.last_version(), "node {}", n);
            prop_assert_eq!(node.used(), open.clone(), "node {}", n);
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(600))]

    /// Whatever the store loses, and whoever reads it, hears of it late or starts again: no version in force goes
    /// back at any daemon, no start of a server that said it leaves is used again, and in the end all daemons that
    /// hear the store or a current peer stand as the operators and servers left it.
    #[test]
    fn nothing_goes_back_with_the_store(acts in prop::collection::vec(act(), 1..120)) {
        let mut world = World::new();
        for act in acts {
            world.take(act);
            world.check()?;
        }
        world.settle()?;
    }
}

//! The mirror of the store under random interleavings of reads, peers' words and lost messages.

#[path = "mirror/stand_ins.rs"]
mod stand_ins;

use proptest::prelude::*;
use stand_ins::{Node, hall_of, node};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};
use tidestair::gateway::mirror::Mirror;
use tidestair::gateway::port::{Change, Entry};
use tidestair::gateway::update::{CopyStatus, Missing};
use tidestair::message;
use tidestair::platform::Position;

/// A peer's word that it held everything `age` ago, while a node asks the store in vain.
fn hear(node: &Node, truth: &Truth, age: Duration, now: Instant) {
    node.mirror.store_failed(now);
    node.mirror.store_answered(now - age, now);
    let position = truth.position();
    let age_ms = age.as_millis() as u32;
    let statement = CopyStatus {
        position,
        last_change: position,
        servers_position: position,
        last_server_change: position,
        deletions_known_after: Position::START,
        age_ms,
        retained_checksum: 0,
    };
    node.mirror.receive_status(statement, now - age, now);
}

/// The servers that acts write.
const SERVERS: [u8; 3] = [0, 1, 2];

/// Bytes of a large configuration's value: more than peers give first.
const LARGE: usize = 5_000;

/// A position of a store that never went back.
fn at(revision: u64) -> Position {
    Position::new(0, revision)
}

/// The true store: every change so far.
#[derive(Default)]
struct Truth {
    changes: Vec<Change>,
    /// When each came, by the same clock as the nodes'.
    times: Vec<Instant>,
}

impl Truth {
    fn revision(&self) -> u64 {
        self.changes.len() as u64
    }

    fn position(&self) -> Position {
        at(self.revision())
    }

    /// Carries out what an act writes to the store, if anything.
    fn take(&mut self, act: &Act, now: Instant) {
        match act {
            Act::Declare(large) => {
                let version = (self.revision() + 1).to_string();
                let zeros = if *large { "0".repeat(LARGE) } else { String::new() };
                self.write("config", Some(zeros + &version), now);
            }
            Act::Server(n, leaving) => {
                let text = if *leaving { "leaving" } else { "ready" };
                self.write(&format!("servers/{n}"), Some(text.into()), now);
            }
            Act::Life(n) => self.write(&format!("servers/{n}"), Some(format!("ready.{n}")), now),
            Act::Remove(n) => self.write(&format!("servers/{n}"), None, now),
            _ => {}
        }
    }

    fn write(&mut self, key: &str, value: Option<String>, now: Instant) {
        let revision = at(self.revision() + 1);
        let value = value.map(String::into_bytes);
        self.changes.push(Change { key: key.into(), value, revision });
        self.times.push(now);
    }

    fn entries(&self) -> Vec<Entry> {
        let mut latest: BTreeMap<&str, &Change> = BTreeMap::new();
        for change in &self.changes {
            latest.insert(&change.key, change);
        }
        let live = latest.values().filter_map(|c| {
            Some(Entry { key: c.key.clone(), value: c.value.clone()?, revision: c.revision })
        });
        live.collect()
    }

    /// Ids of the servers that were listed at a revision.
    fn servers_at(&self, position: Position) -> BTreeSet<String> {
        let mut listed = BTreeSet::new();
        for change in self.changes.iter().filter(|c| c.revision <= position) {
            let Some(id) = change.key.strip_prefix("servers/") else {
                continue;
            };
            match change.value {
                Some(_) => listed.insert(id.to_string()),
                None => listed.remove(id),
            };
        }
        listed
    }

    /// The last declaration written up to a moment.
    fn declared_at(&self, at: Instant) -> Position {
        let written = self.changes.iter().zip(&self.times).filter(|(_, time)| **time <= at);
        let declared = written.filter(|(c, _)| c.key == "config").map(|(c, _)| c.revision);
        declared.max().unwrap_or(Position::START)
    }
}

/// Reads the store as a daemon does: everything once, then what has changed.
fn read(mirror: &Mirror, truth: &Truth, now: Instant) {
    mirror.store_answered(now, now);
    let after = mirror.position();
    if after.is_start() {
        return mirror.replace(truth.entries(), truth.position(), now, now);
    }
    let newer = truth.changes.iter().filter(|c| c.revision > after).cloned();
    mirror.advance(newer.collect(), truth.position(), now, now);
}

/// Reads the servers' entries apart, as a daemon does whose answer of the store is slow.
fn read_servers(mirror: &Mirror, truth: &Truth, now: Instant) {
    let after = mirror.urgent_position();
    if after.is_start() {
        return;
    }
    let newer = truth.changes.iter().filter(|c| c.revision > after);
    let urgent =
        |c: &&Change| mirror.urgent_prefixes().iter().any(|prefix| c.key.starts_with(prefix));
    let newer = newer.filter(urgent).cloned();
    mirror.advance_urgent(newer.collect(), truth.position(), now, now);
}

#[derive(Debug, Clone)]
enum Act {
    /// A configuration, large or small.
    Declare(bool),
    Server(u8, bool),
    Life(u8),
    Remove(u8),
    /// A node reads the store: whole, or what has changed.
    Read(usize, bool),
    /// A node reads the servers' entries apart.
    ReadServers(usize),
    /// One node's statement reaches another, this many steps late.
    Tell(usize, usize, u8),
    /// One node gives another what it lacks, small values only or all.
    Give(usize, usize, bool),
    Wait(u16),
}

fn act() -> impl Strategy<Value = Act> {
    prop_oneof![
        any::<bool>().prop_map(Act::Declare),
        (0u8..3, any::<bool>()).prop_map(|(n, leaving)| Act::Server(n, leaving)),
        (0u8..3).prop_map(Act::Life),
        (0u8..3).prop_map(Act::Remove),
        (0usize..3, any::<bool>()).prop_map(|(n, whole)| Act::Read(n, whole)),
        (0usize..3).prop_map(Act::ReadServers),
        (0usize..3, 0usize..3, 0u8..4).prop_map(|(a, b, late)| Act::Tell(a, b, late)),
        (0usize..3, 0usize..3, any::<bool>()).prop_map(|(a, b, all)| Act::Give(a, b, all)),
        (1u16..900).prop_map(Act::Wait),
    ]
}

/// What an operator, a server or another writer does.
#[derive(Debug, Clone)]
enum News {
    /// A hall is closed or taken back.
    Hall(u8, bool),
    /// A server starts under its id.
    Start(u8),
    /// It says that it leaves.
    Leave(u8),
    /// Its entry lapses, or it has gone.
    Lapse(u8),
    /// It writes again as it was.
    Write(u8),
    /// Another writer's entry is in its place.
    Garble(u8),
}

fn news() -> impl Strategy<Value = News> {
    prop_oneof![
        (0u8..2, any::<bool>()).prop_map(|(n, closed)| News::Hall(n, closed)),
        (0u8..3).prop_map(News::Start),
        (0u8..3).prop_map(News::Leave),
        (0u8..3).prop_map(News::Lapse),
        (0u8..3).prop_map(News::Write),
        (0u8..3).prop_map(News::Garble),
    ]
}

/// How a node hears of it.
#[derive(Debug, Clone)]
enum Way {
    Unheard,
    Read(usize),
    Apart(usize),
    Whole(usize),
    /// From this node the other one is given small values.
    Given(usize),
}

fn way() -> impl Strategy<Value = Way> {
    prop_oneof![
        Just(Way::Unheard),
        (0usize..2).prop_map(Way::Read),
        (0usize..2).prop_map(Way::Apart),
        (0usize..2).prop_map(Way::Whole),
        (0usize..2).prop_map(Way::Given),
    ]
}

/// A server's last start.
#[derive(Debug, Clone, Copy)]
struct Start {
    born: u64,
    leaves: bool,
    /// Whether its entry stands there as it wrote it.
    listed: bool,
}

/// How everything stands after some news.
#[derive(Default)]
struct Last {
    starts: BTreeMap<u8, Start>,
    closed: BTreeSet<String>,
}

impl Last {
    fn take(&mut self, news: &News, truth: &mut Truth, now: Instant) {
        let mut write = |key: String, value: Option<String>| truth.write(&key, value, now);
        let server = |n: u8| format!("servers/{n}");
        match *news {
            News::Hall(n, closed) => {
                let hall = format!("hall-{n}");
                write(format!("closed/{hall}"), closed.then(String::new));
                match closed {
                    true => self.closed.insert(hall),
                    false => self.closed.remove(&hall),
                };
            }
            News::Start(n) => {
                let born = self.starts.get(&n).map_or(1, |start| start.born + 1);
                self.starts.insert(n, Start { born, leaves: false, listed: true });
                write(server(n), Some(format!("ready@{born}")));
            }
            News::Leave(n) | News::Write(n) => {
                if let Some(start) = self.starts.get_mut(&n) {
                    start.leaves |= matches!(news, News::Leave(_));
                    start.listed = true;
                    let state = if start.leaves { "leaving" } else { "ready" };
                    write(server(n), Some(format!("{state}@{}", start.born)));
                }
            }
            News::Lapse(n) | News::Garble(n) => {
                let garbled = matches!(news, News::Garble(_));
                if let Some(start) = self.starts.get_mut(&n) {
                    start.listed = false;
                }
                write(server(n), garbled.then(|| "?".to_string()));
            }
        }
    }

    /// Ids of the servers that work may go to.
    fn used(&self) -> BTreeSet<String> {
        let open = self.starts.iter().filter(|(_, start)| start.listed && !start.leaves);
        let ids = open.map(|(n, _)| n.to_string());
        ids.filter(|id| !self.closed.contains(&hall_of(id))).collect()
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Whatever is read, told late or lost: a configuration never goes back, and one that a node
    /// holds for confirmed `age` ago was the newest then.
    #[test]
    fn a_confirmation_is_always_true(acts in prop::collection::vec(act(), 1..120)) {
        let start = Instant::now();
        let mut now = start + Duration::from_secs(10);
        let nodes = [node(start), node(start), node(start)];
        let mut truth = Truth::default();
        // Statements on the way: what was said, and the receiver's clock that it returned.
        let mut said: Vec<Vec<_>> = vec![Vec::new(); 3];
        let mut highest = [Position::START; 3];
        for act in acts {
            truth.take(&act, now);
            match act {
                Act::Read(n, whole) => {
                    let mirror = &nodes[n].mirror;
                    match whole {
                        true => mirror.replace(truth.entries(), truth.position(), now, now),
                        false => read(mirror, &truth, now),
                    }
                }
                Act::ReadServers(n) => read_servers(&nodes[n].mirror, &truth, now),
                Act::Tell(from, to, late) => {
                    if let Some(statement) = nodes[from].mirror.copy_status(now) {
                        said[to].push((statement, now));
                    }
                    let at = said[to].len().saturating_sub(1 + usize::from(late));
                    if let Some((statement, seen)) = said[to].get(at).copied() {
                        let age = Duration::from_millis(statement.age_ms.into());
                        nodes[to].mirror.receive_status(statement, seen - age, now);
                    }
                }
                Act::Give(from, to, all) => nodes[from].give(&nodes[to], all, now),
                Act::Wait(ms) => now += Duration::from_millis(ms.into()),
                _ => {}
            }
            for (node, highest) in nodes.iter().zip(&mut highest) {
                let position = node.gateway.in_force.position();
                prop_assert!(position >= *highest, "went back from {highest:?} to {position:?}");
                *highest = position;
                if !position.is_start() && let Some(age) = node.gateway.in_force.age(now) {
                    // Ages are told in whole milliseconds, cut off.
                    let confirmed = now - age - Duration::from_millis(2);
                    prop_assert!(
                        truth.declared_at(confirmed) <= position,
                        "held {position:?} for the newest {age:?} ago"
                    );
                }
            }
        }
    }

    /// However a node came to its position, it has exactly the servers that the store had there; what
    /// it was given ahead of large values may be newer, and is as the store had it then.
    #[test]
    fn a_copy_lacks_nothing_up_to_its_position(acts in prop::collection::vec(act(), 1..120)) {
        let start = Instant::now();
        let mut now = start + Duration::from_secs(10);
        let nodes = [node(start), node(start), node(start)];
        let mut truth = Truth::default();
        // Up to where a node was given small values ahead.
        let mut ahead = [Position::START; 3];
        for act in acts {
            truth.take(&act, now);
            match act {
                // A daemon reads everything only when it has nothing yet.
                Act::Read(n, _) => read(&nodes[n].mirror, &truth, now),
                Act::ReadServers(n) => {
                    read_servers(&nodes[n].mirror, &truth, now);
                    ahead[n] = truth.position();
                }
                Act::Tell(from, to, _) => {
                    if let Some(statement) = nodes[from].mirror.copy_status(now) {
                        nodes[to].mirror.receive_status(statement, now, now);
                        ahead[to] = ahead[to].max(ahead[from]);
                    }
                }
                Act::Give(from, to, all) => {
                    nodes[from].give(&nodes[to], all, now);
                    ahead[to] = truth.position();
                }
                Act::Wait(ms) => now += Duration::from_millis(ms.into()),
                _ => {}
            }
        }
        for (node, ahead) in nodes.iter().zip(ahead) {
            node.mirror.expire(now + Duration::from_secs(10));
            let position = node.mirror.position();
            let servers = node.mirror.urgent_position();
            let had = |id: &String| {
                let revisions = servers.revision..=ahead.max(servers).revision;
                let mut had = revisions.map(|r| truth.servers_at(at(r)).contains(id));
                let has = node.servers().contains(id);
                had.any(|had| had == has)
            };
            prop_assert!(SERVERS.map(|n| n.to_string()).iter().all(had));
            if ahead <= position {
                prop_assert_eq!(node.servers(), truth.servers_at(position));
            }
        }
    }

    /// In whatever order news of servers and halls comes, lapses, starts and entries of other writers among
    /// it, two nodes that have heard all of it send work to the same servers: those whose entry can be read,
    /// whose latest start does not leave, and whose hall is open.
    #[test]
    fn news_of_servers_and_halls_ends_in_one_state(
        news in prop::collection::vec((news(), way()), 1..100)
    ) {
        let now = Instant::now() + Duration::from_secs(60);
        let nodes = [node(now), node(now)];
        let mut truth = Truth::default();
        truth.take(&Act::Declare(false), now);
        let mut last = Last::default();
        for (news, way) in news {
            last.take(&news, &mut truth, now);
            match way {
                Way::Unheard => {}
                Way::Read(n) => read(&nodes[n].mirror, &truth, now),
                Way::Apart(n) => read_servers(&nodes[n].mirror, &truth, now),
                Way::Whole(n) => {
                    nodes[n].mirror.replace(truth.entries(), truth.position(), now, now);
                }
                Way::Given(n) => nodes[n].give(&nodes[1 - n], false, now),
            }
        }
        read(&nodes[0].mirror, &truth, now);
        nodes[0].give(&nodes[1], true, now);
        for node in &nodes {
            prop_assert_eq!(node.used(), last.used());
        }
    }

    /// A node that reads, or is given everything by one that has read, has the servers as they are.
    #[test]
    fn what_is_given_is_what_there_is(acts in prop::collection::vec(act(), 1..80)) {
        let start = Instant::now();
        let mut now = start + Duration::from_secs(10);
        let nodes = [node(start), node(start)];
        let mut truth = Truth::default();
        for act in acts {
            truth.take(&act, now);
            match act {
                Act::Give(_, _, all) => {
                    nodes[0].mirror.replace(truth.entries(), truth.position(), now, now);
                    nodes[0].give(&nodes[1], all, now);
                }
                Act::Wait(ms) => now += Duration::from_millis(ms.into()),
                _ => {}
            }
        }
        nodes[0].mirror.replace(truth.entries(), truth.position(), now, now);
        nodes[0].give(&nodes[1], true, now);
        for node in &nodes {
            node.mirror.expire(now + Duration::from_secs(5));
            prop_assert_eq!(node.servers(), truth.servers_at(truth.position()));
        }
    }
}

/// Time between two words of a peer.
const BEAT: Duration = Duration::from_millis(250);

/// Two nodes that have read a store with a configuration and the servers 1 and 2.
fn two_that_have_read(now: Instant) -> (Truth, Node, Node) {
    let mut truth = Truth::default();
    truth.take(&Act::Declare(false), now);
    truth.take(&Act::Server(1, false), now);
    truth.take(&Act::Server(2, false), now);
    let (giver, taker) = (node(now), node(now));
    read(&giver.mirror, &truth, now);
    read(&taker.mirror, &truth, now);
    (truth, giver, taker)
}

#[test]
fn a_copy_that_is_late_does_not_hold_deletions_back() {
    let start = Instant::now() + Duration::from_secs(60);
    let (mut truth, giver, taker) = two_that_have_read(start);
    truth.take(&Act::Remove(1), start);
    let mut now = start;
    // The store answers others all the while; this node is told so and not given what it lacks.
    while now < start + Duration::from_secs(3) {
        now += BEAT;
        read(&giver.mirror, &truth, now);
        hear(&taker, &truth, Duration::ZERO, now);
    }
    giver.give(&taker, true, now);
    assert!(!taker.takes_work("1"), "the store was never away, so its word is final");
    assert!(taker.takes_work("2"));
}

#[test]
fn old_words_of_a_store_that_answers_do_not_hold_deletions_back() {
    let start = Instant::now() + Duration::from_secs(60);
    let (mut truth, giver, taker) = two_that_have_read(start);
    let mut now = start;
    while now < start + Duration::from_secs(6) {
        now += BEAT;
        read(&giver.mirror, &truth, now);
        hear(&taker, &truth, Duration::from_secs(2), now);
    }
    truth.take(&Act::Remove(1), now);
    read(&giver.mirror, &truth, now);
    giver.give(&taker, true, now);
    assert!(!taker.takes_work("1"), "what it hears is late, but never stops");
}

#[test]
fn entries_that_lapse_while_the_store_is_away_are_waited_for_from_its_return() {
    let start = Instant::now() + Duration::from_secs(60);
    let (mut truth, giver, taker) = two_that_have_read(start);
    // The store answers nobody for five seconds; both entries lapse, and one comes back.
    let back = start + Duration::from_secs(5);
    for node in [&giver, &taker] {
        node.mirror.store_failed(start + Duration::from_secs(4));
    }
    truth.take(&Act::Remove(1), back);
    truth.take(&Act::Remove(2), back);
    read(&giver.mirror, &truth, back);
    taker.mirror.store_answered(back, back);
    hear(&taker, &truth, Duration::ZERO, back);
    let late = back + Duration::from_millis(1_500);
    giver.give(&taker, true, late);
    for node in [&giver, &taker] {
        node.mirror.expire(late);
        assert!(node.takes_work("1") && node.takes_work("2"), "both may come back");
    }
    truth.take(&Act::Server(2, false), late);
    read(&giver.mirror, &truth, late);
    giver.give(&taker, true, late);
    let over = back + Duration::from_secs(2);
    for node in [&giver, &taker] {
        node.mirror.expire(over);
        assert!(!node.takes_work("1"), "it did not come back within two seconds of the store");
        assert!(node.takes_work("2"), "it came back");
    }
}

#[test]
fn a_leaving_does_not_wait_behind_a_large_configuration() {
    /// What a link of 10 Mbit/s carries in 1.6 ms.
    const SMALL: usize = 2_000;
    let now = Instant::now() + Duration::from_secs(60);
    let (mut truth, giver, taker) = two_that_have_read(now);
    let large = "0".repeat(1_000_000) + "7";
    truth.write("config", Some(large), now);
    truth.take(&Act::Server(1, true), now);
    truth.take(&Act::Remove(2), now);
    read(&giver.mirror, &truth, now);
    let first = giver.mirror.small_update_after(taker.mirror.position(), now).expect("it has read");
    let bytes = message::encode(&first).len();
    assert!(bytes < SMALL, "the first message has {bytes} bytes");
    taker.mirror.apply(first, now, now);
    assert!(!taker.takes_work("1") && !taker.takes_work("2"));
}

#[test]
fn what_was_given_ahead_is_told_of_once_the_copy_vouches_for_it() {
    let now = Instant::now() + Duration::from_secs(60);
    let (mut truth, giver, taker) = two_that_have_read(now);
    let other = node(now);
    truth.take(&Act::Declare(true), now);
    read(&other.mirror, &truth, now);
    truth.take(&Act::Remove(1), now);
    read(&giver.mirror, &truth, now);
    giver.give(&taker, false, now);
    let ahead = taker.mirror.copy_status(now).expect("it has read");
    assert_eq!(
        (ahead.position, ahead.servers_position),
        (at(3), at(5)),
        "it vouches for no more than it holds"
    );
    assert_eq!(
        other.mirror.receive_status(ahead, now, now),
        Missing::Changes,
        "a server's leaving is told on"
    );
    giver.give(&taker, true, now);
    let whole = taker.mirror.copy_status(now).expect("it has read");
    assert_eq!(other.mirror.receive_status(whole, now, now), Missing::Changes);
    taker.give(&other, false, now);
    assert!(!other.takes_work("1"));
}

#[test]
fn a_copy_that_lacks_a_large_value_does_not_ask_for_small_ones_again() {
    let now = Instant::now() + Duration::from_secs(60);
    let (mut truth, giver, taker) = two_that_have_read(now);
    truth.take(&Act::Declare(true), now);
    truth.take(&Act::Remove(1), now);
    read(&giver.mirror, &truth, now);
    let statement = giver.mirror.copy_status(now).expect("it has read");
    assert_eq!(taker.mirror.receive_status(statement, now, now), Missing::Changes);
    giver.give(&taker, false, now);
    assert_eq!(taker.mirror.receive_status(statement, now, now), Missing::LargeValues);
    assert_eq!(taker.gateway.in_force.position(), at(1), "the configuration is not in force yet");
    giver.give(&taker, true, now);
    assert_eq!(taker.mirror.receive_status(statement, now, now), Missing::Nothing);
    assert_eq!(taker.gateway.in_force.position(), at(4));
}

#[test]
fn servers_that_were_read_apart_are_told_on() {
    let now = Instant::now() + Duration::from_secs(60);
    let (mut truth, reader, taker) = two_that_have_read(now);
    truth.take(&Act::Declare(true), now);
    truth.take(&Act::Remove(1), now);
    read_servers(&reader.mirror, &truth, now);
    assert!(!reader.takes_work("1"));
    let statement = reader.mirror.copy_status(now).expect("it has read");
    assert_eq!(
        (statement.position, statement.last_change),
        (at(3), at(3)),
        "the configuration is lacking"
    );
    assert_eq!(taker.mirror.receive_status(statement, now, now), Missing::Changes);
    reader.give(&taker, false, now);
    assert!(!taker.takes_work("1"));
    assert_eq!(taker.mirror.receive_status(statement, now, now), Missing::Nothing);
}

#[test]
fn a_deletion_is_told_on_by_a_node_that_never_saw_what_was_deleted() {
    let now = Instant::now() + Duration::from_secs(60);
    let (teller, giver, hearer) = (node(now), node(now), node(now));
    let mut truth = Truth::default();
    truth.take(&Act::Declare(false), now);
    read(&teller.mirror, &truth, now);
    truth.take(&Act::Remove(0), now);
    read(&teller.mirror, &truth, now);
    teller.give(&giver, false, now);
    truth.take(&Act::Life(0), now);
    read(&hearer.mirror, &truth, now);
    truth.take(&Act::Remove(0), now);
    read(&giver.mirror, &truth, now);
    // The teller knows of two deletions and of nothing between them.
    giver.give(&teller, false, now);
    let statement = teller.mirror.copy_status(now).expect("it has read");
    assert_eq!(hearer.mirror.receive_status(statement, now, now), Missing::Changes);
}

/// Found by the random interleavings above: a node that was given everything took a server that had gone and
/// come back for one that had only shown a sign of life, and did not tell a peer that had seen it go.
#[test]
fn a_server_that_went_and_came_back_unseen_is_told_on() {
    let now = Instant::now() + Duration::from_secs(60);
    let (teller, giver, hearer) = (node(now), node(now), node(now));
    let mut truth = Truth::default();
    truth.take(&Act::Server(2, false), now);
    read(&teller.mirror, &truth, now);
    truth.take(&Act::Remove(2), now);
    read(&hearer.mirror, &truth, now);
    hearer.give(&giver, true, now);
    truth.take(&Act::Life(2), now);
    read_servers(&giver.mirror, &truth, now);
    giver.give(&teller, true, now);
    read_servers(&teller.mirror, &truth, now);
    teller.give(&hearer, true, now);
    assert_eq!(hearer.mirror.urgent_position(), truth.position());
    assert!(!hearer.servers().is_empty());
}

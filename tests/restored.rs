//! The mirror of a store that comes back from an older copy of itself: what the store has lost still holds, for
//! daemons that knew it and for those that hear of it, until its writer has written again.

#[path = "mirror/stand_ins.rs"]
mod stand_ins;

use stand_ins::{Node, node};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use tidestair::gateway::fingerprint::Fingerprint;
use tidestair::gateway::port::{Change, Entry};
use tidestair::gateway::update::Missing;
use tidestair::message;
use tidestair::platform::Position;

/// A store that can come back from a copy.
#[derive(Clone, Default)]
struct Store {
    at: Position,
    items: BTreeMap<String, (String, Position)>,
    changes: Vec<Change>,
}

impl Store {
    fn write(&mut self, key: &str, value: Option<&str>) {
        self.at = self.at.next();
        match value {
            Some(value) => self.items.insert(key.into(), (value.into(), self.at)),
            None => self.items.remove(key),
        };
        let value = value.map(|value| value.as_bytes().to_vec());
        self.changes.push(Change { key: key.into(), value, revision: self.at });
    }

    fn put(&mut self, key: &str, value: &str) {
        self.write(key, Some(value));
    }

    /// Comes back as `copy`.
    fn restore(&mut self, copy: &Store) {
        let era = self.at.era + 1;
        *self = copy.clone();
        self.at.era = era;
        self.items.values_mut().for_each(|(_, at)| at.era = era);
        self.changes.iter_mut().for_each(|change| change.revision.era = era);
    }

    fn entries(&self) -> Vec<Entry> {
        let entry = |(key, (value, at)): (&String, &(String, Position))| Entry {
            key: key.clone(),
            value: value.as_bytes().to_vec(),
            revision: *at,
        };
        self.items.iter().map(entry).collect()
    }

    /// A node reads it, as a daemon does.
    fn read(&self, node: &Node, now: Instant) {
        let after = node.mirror.position();
        if after.is_start() || after.era != self.at.era {
            return node.mirror.replace(self.entries(), self.at, now, now);
        }
        let newer = self.changes.iter().filter(|change| change.revision > after);
        node.mirror.advance(newer.cloned().collect(), self.at, now, now);
    }
}

/// A store with a configuration and two servers, and a node that has read it.
fn store_and_node(now: Instant) -> (Store, Node) {
    let mut store = Store::default();
    store.put("config", "7");
    store.put("servers/1", "ready@1");
    store.put("servers/2", "ready@1");
    let node = node(now);
    store.read(&node, now);
    (store, node)
}

fn start() -> Instant {
    Instant::now() + Duration::from_secs(60)
}

fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

/// Guards against work for a hall that was closed, where the store lost that.
#[test]
fn a_hall_that_was_closed_stays_closed_until_its_order_is_written_again_and_withdrawn() {
    let now = start();
    let (mut store, node) = store_and_node(now);
    let copy = store.clone();
    store.put("closed/hall-1", "");
    store.read(&node, now);
    assert!(!node.may_use("1") && node.may_use("2"));
    store.restore(&copy);
    store.read(&node, now);
    assert!(!node.may_use("1"), "the store lost it");
    store.put("closed/hall-1", "");
    store.read(&node, now + secs(1));
    assert!(!node.may_use("1"), "it is written again");
    store.write("closed/hall-1", None);
    store.read(&node, now + secs(2));
    assert!(node.may_use("1"), "it is withdrawn");
}

#[test]
fn a_hall_whose_order_is_never_written_again_opens_in_the_end() {
    let now = start();
    let (mut store, node) = store_and_node(now);
    let copy = store.clone();
    store.put("closed/hall-1", "");
    store.read(&node, now);
    store.restore(&copy);
    store.read(&node, now);
    node.mirror.expire(now + secs(29));
    assert!(!node.may_use("1"));
    node.mirror.expire(now + secs(31));
    assert!(node.may_use("1"), "the order may have been withdrawn before anybody read of it");
}

/// Guards against an order that was withdrawn and comes back with the copy.
#[test]
fn a_hall_that_was_open_again_stays_open() {
    let now = start();
    let (mut store, node) = store_and_node(now);
    store.put("closed/hall-1", "");
    store.read(&node, now);
    let copy = store.clone();
    store.write("closed/hall-1", None);
    store.read(&node, now);
    store.restore(&copy);
    store.read(&node, now);
    assert!(node.may_use("1"));
    store.write("closed/hall-1", None);
    store.put("closed/hall-1", "");
    store.read(&node, now);
    assert!(!node.may_use("1"), "closed anew");
}

/// Guards against requests for a server that has gone and is listed by the copy; one that lives writes again.
#[test]
fn a_server_that_has_gone_is_listed_again_once_it_writes() {
    let now = start();
    let (mut store, node) = store_and_node(now);
    let copy = store.clone();
    store.write("servers/1", None);
    store.read(&node, now);
    store.restore(&copy);
    store.read(&node, now);
    assert!(!node.takes_work("1") && node.takes_work("2"));
    store.put("servers/1", "ready@1.5");
    store.read(&node, now + secs(1));
    assert!(node.takes_work("1"), "a sign of life");
}

/// Guards against an earlier start of a server that comes back with the copy.
#[test]
fn an_earlier_start_of_a_server_does_not_come_back() {
    let now = start();
    let (mut store, node) = store_and_node(now);
    let copy = store.clone();
    store.put("servers/1", "ready@2");
    store.read(&node, now);
    store.restore(&copy);
    store.read(&node, now);
    assert_eq!(node.born("1"), Some(2));
    store.put("servers/1", "ready@2.3");
    store.read(&node, now);
    assert_eq!(node.born("1"), Some(2));
    assert!(node.takes_work("1"));
}

#[test]
fn a_server_that_leaves_does_not_come_back_ready_and_a_new_start_does() {
    let now = start();
    let (mut store, node) = store_and_node(now);
    let copy = store.clone();
    store.put("servers/1", "leaving@1");
    store.read(&node, now);
    store.restore(&copy);
    store.read(&node, now);
    assert!(!node.takes_work("1"));
    store.put("servers/1", "ready@2");
    store.read(&node, now);
    assert!(node.takes_work("1"));
}

#[test]
fn servers_that_the_copy_lacks_have_time_to_write_again() {
    let now = start();
    let (mut store, node) = store_and_node(now);
    let copy = store.clone();
    for server in ["3", "4"] {
        store.put(&format!("servers/{server}"), "ready@1");
    }
    store.read(&node, now);
    store.restore(&copy);
    store.read(&node, now);
    assert!(node.takes_work("3") && node.takes_work("4"));
    store.put("servers/3", "ready@1");
    store.read(&node, now + secs(1));
    node.mirror.expire(now + secs(2));
    assert!(node.takes_work("3") && !node.takes_work("4"));
}

/// Guards against a daemon that starts after the loss and serves by the older configuration, a key that was revoked
/// among it, beside daemons that know better.
#[test]
fn a_daemon_that_starts_after_the_loss_is_given_what_others_know() {
    let now = start();
    let (mut store, old) = store_and_node(now);
    let copy = store.clone();
    store.put("config", "12");
    store.put("closed/hall-1", "");
    store.write("servers/2", None);
    store.read(&old, now);
    store.restore(&copy);
    store.read(&old, now);
    let new = node(now);
    store.read(&new, now);
    assert_eq!(new.version(), 7, "alone it can't know");
    let statement = old.mirror.copy_status(now).expect("it has read");
    assert_eq!(new.mirror.receive_status(statement, now, now), Missing::Changes);
    old.give(&new, true, now);
    assert_eq!(new.version(), 12);
    assert!(!new.may_use("1") && !new.may_use("2"));
    assert_eq!(new.mirror.receive_status(statement, now, now), Missing::Nothing, "it asks once");
    store.put("config", "12");
    store.put("config", "13");
    store.read(&new, now);
    assert_eq!(new.version(), 13);
}

#[test]
fn versions_that_are_written_again_one_by_one_bring_none_back() {
    let now = start();
    let (mut store, node) = store_and_node(now);
    let copy = store.clone();
    for version in ["8", "9", "10"] {
        store.put("config", version);
    }
    store.read(&node, now);
    store.restore(&copy);
    for version in ["8", "9", "10", "11"] {
        store.read(&node, now);
        assert_eq!(node.version(), 10);
        store.put("config", version);
    }
    store.read(&node, now);
    assert_eq!(node.version(), 11);
}

/// Guards against a peer of an earlier era whose word makes a copy current, or is taken for news.
#[test]
fn an_earlier_era_confirms_nothing_and_a_later_one_brings_it_on() {
    let now = start();
    let (mut store, behind) = store_and_node(now);
    let ahead = node(now);
    store.read(&ahead, now);
    let copy = store.clone();
    store.put("servers/1", "leaving@1");
    let lost = store.clone();
    store.restore(&copy);
    store.put("config", "9");
    store.read(&ahead, now);
    // One reads on what the other knows to be lost.
    let later = now + secs(3);
    lost.read(&behind, later);
    let statement = |node: &Node| node.mirror.copy_status(later).expect("it has read");
    assert_eq!(ahead.mirror.receive_status(statement(&behind), later, later), Missing::Nothing);
    assert_eq!(ahead.gateway.in_force.age(later), Some(secs(3)), "not confirmed");
    behind.give(&ahead, true, later);
    assert_eq!(ahead.gateway.in_force.age(later), Some(secs(3)), "nor by what it gives");
    assert_eq!(
        behind.mirror.receive_status(statement(&ahead), later, later),
        Missing::Changes,
        "at once"
    );
    assert_eq!(behind.version(), 7);
    ahead.give(&behind, true, later);
    assert_eq!((behind.mirror.position(), behind.version()), (store.at, 9));
    assert!(!behind.takes_work("1"), "it had said that it leaves");
    assert!(behind.takes_work("2"));
}

#[test]
fn a_second_loss_leaves_what_was_known_before_the_first() {
    let now = start();
    let (mut store, node) = store_and_node(now);
    let copy = store.clone();
    store.put("config", "12");
    store.put("closed/hall-1", "");
    store.read(&node, now);
    for _ in 0..2 {
        store.restore(&copy);
        store.read(&node, now + secs(1));
        assert_eq!(node.version(), 12);
        assert!(!node.may_use("1"));
    }
    store.write("closed/hall-1", None);
    store.read(&node, now + secs(2));
    assert!(node.may_use("1"));
}

/// Guards against requests that end servers and are let go since the store lost their record.
#[test]
fn a_request_that_is_kept_back_stays_so_and_is_recorded_again() {
    let now = start();
    let (mut store, node) = store_and_node(now);
    let copy = store.clone();
    let request = Fingerprint::parse("0123456789abcdef").expect("a fingerprint");
    store.put("quarantine/0123456789abcdef", "{}");
    store.read(&node, now);
    assert!(node.gateway.quarantine().quarantined_for(request, now).is_some());
    store.restore(&copy);
    store.read(&node, now);
    assert!(node.gateway.quarantine().quarantined_for(request, now).is_some());
    assert!(node.gateway.quarantine().is_unsaved(request, now));
    assert_eq!(node.gateway.quarantine().take_lost(), [request]);
    store.put("quarantine/0123456789abcdef", "{}");
    store.read(&node, now);
    assert!(!node.gateway.quarantine().is_unsaved(request, now));
    store.write("quarantine/0123456789abcdef", None);
    store.read(&node, now);
    assert!(node.gateway.quarantine().quarantined_for(request, now).is_none());
}

/// Guards against a fleet in which each daemon asks for everything when the store comes back: what a peer is given
/// doesn't grow with the servers that stayed as they were.
#[test]
fn a_peer_is_given_what_differs_however_much_the_store_holds() {
    let now = start();
    let mut given = Vec::new();
    for servers in [100, 1_000, 10_000] {
        let mut store = Store::default();
        store.put("config", "7");
        for n in 0..servers {
            store.put(&format!("servers/{n}"), "ready@1");
        }
        let (reader, peer) = (node(now), node(now));
        store.read(&reader, now);
        store.read(&peer, now);
        let copy = store.clone();
        store.put("servers/1", "leaving@1");
        store.write("servers/2", None);
        store.put("servers/new", "ready@1");
        store.read(&reader, now);
        store.read(&peer, now);
        store.restore(&copy);
        for n in 10..20 {
            store.put(&format!("servers/{n}"), "leaving@1");
        }
        store.read(&reader, now);
        let update =
            reader.mirror.small_update_after(peer.mirror.position(), now).expect("it has read");
        assert!(!update.full && update.complete);
        given.push(message::encode(&update).len());
        peer.mirror.apply(update, now, now);
        assert_eq!(peer.mirror.position(), store.at);
        assert_eq!(peer.used(), reader.used());
    }
    assert!(given.iter().all(|bytes| *bytes < 2_000), "{given:?} bytes");
}

/// Guards against a daemon that never takes a new era in which nothing has changed, and so counts as unconfirmed.
#[test]
fn a_return_without_a_difference_is_crossed_too() {
    let now = start();
    let (mut store, reader) = store_and_node(now);
    let peer = node(now);
    store.read(&peer, now);
    store.restore(&store.clone());
    store.read(&reader, now);
    let statement = reader.mirror.copy_status(now).expect("it has read");
    assert_eq!(peer.mirror.receive_status(statement, now, now), Missing::Changes);
    reader.give(&peer, true, now);
    assert_eq!(peer.mirror.position(), store.at);
    let later = now + secs(1);
    store.read(&reader, later);
    let statement = reader.mirror.copy_status(later).expect("it has read");
    assert_eq!(peer.mirror.receive_status(statement, later, later), Missing::Nothing);
    assert_eq!(peer.gateway.in_force.age(later), Some(Duration::ZERO), "confirmed");
}

/// A copy that knew more of the lost era than the peer that crossed is given everything, and loses nothing.
#[test]
fn a_copy_that_knew_more_of_the_lost_era_is_given_everything() {
    let now = start();
    let (mut store, reader) = store_and_node(now);
    let peer = node(now);
    let copy = store.clone();
    store.put("closed/hall-1", "");
    store.read(&peer, now);
    store.restore(&copy);
    store.read(&reader, now);
    let update =
        reader.mirror.complete_update_after(peer.mirror.position(), now).expect("it has read");
    assert!(update.full);
    peer.mirror.apply(update, now, now);
    assert_eq!(peer.mirror.position(), store.at);
    assert!(!peer.may_use("1"), "it alone knows that the hall is closed");
    peer.give(&reader, true, now);
    assert!(!reader.may_use("1"), "and tells it on");
}

/// The store may go back twice before anybody hears of it.
#[test]
fn two_losses_are_crossed_by_what_differs() {
    let now = start();
    let (mut store, reader) = store_and_node(now);
    let peer = node(now);
    store.read(&peer, now);
    for _ in 0..2 {
        let copy = store.clone();
        store.put("servers/3", "ready@1");
        store.read(&reader, now);
        store.restore(&copy);
        store.read(&reader, now);
    }
    store.put("servers/1", "leaving@1");
    store.read(&reader, now);
    let update =
        reader.mirror.small_update_after(peer.mirror.position(), now).expect("it has read");
    assert!(!update.full);
    peer.mirror.apply(update, now, now);
    // The reader waits for a server that the peer never knew.
    let later = now + secs(2);
    [&reader, &peer].into_iter().for_each(|node| node.mirror.expire(later));
    assert_eq!((peer.mirror.position(), peer.used()), (store.at, reader.used()));
    assert_eq!(peer.used().into_iter().collect::<Vec<_>>(), ["2"]);
}

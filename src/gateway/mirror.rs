//! This daemon's copy of what the store holds for it, and since when it is known to be current.
//!
//! It is fed by the store and by peers alike. A copy at [`Position`] `p` holds every change up to
//! `p`; a statement "nothing that matters changed after `c`, up to `p`, and that
//! was so `age` ago" makes any copy at `c` or later current up to `p`. Changes come with the store's
//! positions, and for one key a lower position never replaces a higher one.
//!
//! The store may come back from an older copy of itself, in a new era. Its revisions then say nothing of those of
//! before: all is read anew, and words of an earlier era confirm nothing.
//!
//! A copy that is behind is given small values first: that a server leaves is in force at once, however
//! long a large configuration takes. Only with all of them the copy's position moves on. The servers'
//! entries and the closed halls have a position of their own, which may be beyond it: they are read apart
//! from a large answer that is still on its way.

mod enforce;

use crate::gateway::clock;
use crate::gateway::core::Gateway;
use crate::gateway::outage::Outages;
use crate::gateway::port::{Change, Entry, Schema};
use crate::gateway::roster::Roster;
use crate::gateway::update::{Cell, Content, Lack, Statement, Update};
use crate::platform::Position;
use log::{info, warn};
use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Time without confirmation after which it is logged that the copy is current again.
const LATE: Duration = Duration::from_millis(1_500);
/// After the store was away, entries that lapsed meanwhile have this long to come back. Servers that
/// live write again within about two seconds.
const COME_BACK: Duration = Duration::from_millis(1_900);
/// Bytes up to which a value is small: servers' and daemons' entries have some hundred, a configuration
/// of a few routes some thousand.
const SMALL: usize = 4 << 10;
/// Deleted keys that are remembered, so that peers can be told of each deletion.
const MOST_DELETED: usize = 1_024;

/// Time without confirmation after which a copy that is older than a peer's asks that peer for
/// everything. Longer than two heartbeats: usually the daemon that reads for all tells sooner.
const UNTOLD: Duration = Duration::from_millis(600);

#[derive(Debug, Clone)]
struct Held {
    revision: Position,
    /// Its last change that matters: a server's signs of life since then are not given to
    /// peers, which would get some hundred bytes a second for each server of the fleet.
    mattered: Position,
    content: Content,
}

#[derive(Default)]
struct State {
    held: HashMap<Arc<str>, Held>,
    /// The keys by their last change that matters: what a peer lacks is found without a look at all.
    order: BTreeSet<(Position, Arc<str>)>,
    /// How many of the keys are deleted ones.
    deleted: usize,
    position: Position,
    /// The last change that matters among those up to the position.
    changed: Position,
    /// The last one beyond the position, of those that were given ahead of large values.
    ahead: Position,
    /// The position up to which no small value is missing, where that is beyond the copy's.
    small: Position,
    /// The same of servers' entries and closed halls, where that is beyond both.
    servers: Position,
    /// The last change that matters of those.
    server_change: Position,
    /// Deletions up to this position are forgotten.
    forgotten: Position,
    confirmed: Option<Instant>,
    outages: Outages,
    /// Servers whose entries lapsed while the store was away, and until when they are waited for.
    missing: HashMap<String, Instant>,
    /// What of servers' entries is not logged yet.
    news: ServerNews,
}

/// A change on its way into the copy.
struct News {
    key: String,
    revision: Position,
    content: Content,
    /// The last change of the key that matters, where a peer told it.
    mattered: Option<Position>,
}

impl From<Change> for News {
    fn from(change: Change) -> News {
        let Change { key, value, revision } = change;
        let content = value.map_or(Content::Deleted, |value| Content::Value(value.into()));
        News { key, revision, content, mattered: None }
    }
}

impl From<Entry> for News {
    fn from(entry: Entry) -> News {
        let Entry { key, value, revision } = entry;
        News::from(Change { key, value: Some(value), revision })
    }
}

impl From<Cell> for News {
    fn from(cell: Cell) -> News {
        let Cell { key, revision, mattered, content } = cell;
        News { key, revision, content, mattered: Some(mattered) }
    }
}

/// Changes of servers' entries that came together, for one log line: with a line for each, a daemon's
/// lines would grow with the fleet.
#[derive(Default)]
struct ServerNews {
    came: usize,
    leaving: Vec<String>,
    gone: Vec<String>,
}

impl ServerNews {
    fn log(&mut self) {
        let ServerNews { came, leaving, gone } = std::mem::take(self);
        if came > 0 || !leaving.is_empty() || !gone.is_empty() {
            let (leaving, gone) = (leaving.join(","), gone.join(","));
            info!(came = came, leaving_ids = leaving.as_str(), gone_ids = gone.as_str(); "backend servers");
        }
    }
}

impl State {
    /// Holds a key's latest change.
    fn hold(&mut self, key: &str, held: Held) {
        let shared = self.held.get_key_value(key).map(|(key, _)| key.clone());
        let shared = shared.unwrap_or_else(|| key.into());
        let (mattered, deleted) = (held.mattered, held.content.is_deleted());
        let before = self.held.insert(shared.clone(), held);
        self.deleted += usize::from(deleted);
        if let Some(before) = before {
            self.deleted -= usize::from(before.content.is_deleted());
            if before.mattered == mattered {
                return;
            }
            self.order.remove(&(before.mattered, shared.clone()));
        }
        self.order.insert((mattered, shared));
    }

    /// Forgets the older half of the deleted keys where there are too many.
    fn forget_deleted(&mut self) {
        if self.deleted <= MOST_DELETED {
            return;
        }
        let gone = self.held.values().filter(|held| held.content.is_deleted());
        let mut gone: Vec<Position> = gone.map(|held| held.revision).collect();
        gone.sort_unstable();
        let middle = gone[gone.len() / 2];
        let order = &mut self.order;
        self.held.retain(|key, held| {
            let kept = !held.content.is_deleted() || held.revision > middle;
            if !kept {
                order.remove(&(held.mattered, key.clone()));
            }
            kept
        });
        self.deleted = self.held.values().filter(|held| held.content.is_deleted()).count();
        self.forgotten = self.forgotten.max(middle);
    }

    /// Keys whose last change that matters came after a position.
    fn changed_after(&self, after: Position) -> impl Iterator<Item = (&Arc<str>, &Held)> {
        let newer = self.order.range((after.next(), Arc::from(""))..);
        newer.map(|(_, key)| (key, &self.held[key]))
    }

    /// How long ago the copy was known to be current; nothing before the first time.
    fn age(&self, now: Instant) -> Duration {
        self.confirmed.map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
    }

    /// What this copy lacks against one of which a peer states so much.
    fn lack(&self, statement: &Statement) -> Lack {
        if statement.position.era < self.position.era {
            return Lack::Nothing;
        }
        // In another era nothing is known to be as it was.
        let begun = Position::new(statement.position.era, 0);
        let servers = statement.servers_changed.max(begun) > self.servers();
        match statement.changed.max(begun) {
            changed if changed <= self.position && !servers => Lack::Nothing,
            changed if changed <= self.position.max(self.small) && !servers => Lack::LargeValues,
            _ => Lack::Changes,
        }
    }

    /// The position up to which no server's entry is missing.
    fn servers(&self) -> Position {
        self.servers.max(self.small).max(self.position)
    }

    /// The last era of the store of which anything is known.
    fn era(&self) -> u64 {
        self.servers().era
    }

    /// Notes that news of a later era come in. What the store lacks of the last moments is written again, as after an
    /// absence.
    fn enter_era(&mut self, position: Position, now: Instant) {
        if position.era <= self.era() || self.position.is_start() {
            return;
        }
        let (before, after) = (self.position, position);
        info!(era = before.era, revision = before.revision, new_era = after.era, new_revision = after.revision; "the store came back from an older copy of itself");
        self.outages.restored(now);
        for until in self.missing.values_mut() {
            *until = now + COME_BACK;
        }
    }

    /// The last position up to the copy's that may have changed something that matters.
    fn last_change(&self) -> Position {
        // Changes that were given ahead are not told apart: some may lie below the position by now.
        if self.ahead > self.position { self.position } else { self.changed.max(self.ahead) }
    }
}

/// See the module.
pub struct Mirror {
    gateway: Arc<Gateway>,
    roster: Arc<Roster>,
    schema: Arc<dyn Schema>,
    state: Mutex<State>,
}

impl Mirror {
    /// An empty copy.
    pub fn new(gateway: Arc<Gateway>, roster: Arc<Roster>, schema: Arc<dyn Schema>) -> Mirror {
        Mirror { gateway, roster, schema, state: Mutex::default() }
    }

    /// The position up to which nothing is missing; the start for an empty copy.
    pub fn position(&self) -> Position {
        self.state().position
    }

    /// What this daemon may say of its copy; `None` before the first confirmation.
    pub fn statement(&self, now: Instant) -> Option<Statement> {
        let state = self.state();
        let age_ms = clock::millis(state.confirmed?, now);
        let servers = state.servers();
        Some(Statement {
            position: state.position,
            changed: state.last_change(),
            servers,
            // Beyond that revision some may be missing.
            servers_changed: state.server_change.min(servers),
            since: state.forgotten,
            age_ms,
        })
    }

    /// Takes in all keys, read at `position`, as the store stood at `seen`.
    pub fn replace(&self, entries: Vec<Entry>, position: Position, seen: Instant, now: Instant) {
        self.replace_all(entries.into_iter().map(News::from).collect(), position, seen, now);
    }

    fn replace_all(&self, news: Vec<News>, position: Position, seen: Instant, now: Instant) {
        let mut state = self.state();
        state.enter_era(position, now);
        if position < state.position {
            // Older than what is known: a read that was overtaken.
            let known = state.position;
            warn!(era = position.era, revision = position.revision, known_era = known.era, known_revision = known.revision; "a read of the store is older than this copy and changes nothing");
            self.gateway.metrics.store_reads.with_label_values(&["older"]).inc();
            return;
        }
        let listed: HashSet<&str> = news.iter().map(|news| news.key.as_str()).collect();
        let is_gone = |(key, held): &(&Arc<str>, &Held)| {
            !held.content.is_deleted() && held.revision <= position && !listed.contains(&***key)
        };
        let gone: Vec<String> =
            state.held.iter().filter(is_gone).map(|(key, _)| key.to_string()).collect();
        // Keys that were written and deleted since this copy's last position were never seen.
        state.forgotten = position;
        let before = state.position;
        self.confirm(&mut state, position, seen, now);
        for key in gone {
            let change = Change { key, value: None, revision: position };
            self.take(&mut state, change.into(), seen, now);
        }
        for news in news {
            // What was written since may have gone in between, however it looks: peers that saw it go must be
            // told that it is back.
            let mattered = (news.revision > before).then_some(news.revision);
            self.take(&mut state, News { mattered, ..news }, seen, now);
        }
        state.news.log();
    }

    /// Takes in all changes up to `position`, as the store stood at `seen`.
    pub fn advance(&self, changes: Vec<Change>, position: Position, seen: Instant, now: Instant) {
        self.take_all(changes.into_iter().map(News::from).collect(), position, seen, now);
    }

    fn take_all(&self, news: Vec<News>, position: Position, seen: Instant, now: Instant) {
        let mut state = self.state();
        state.enter_era(position, now);
        self.confirm(&mut state, position, seen, now);
        for news in news {
            self.take(&mut state, news, seen, now);
        }
        state.news.log();
    }

    /// Hears a peer's statement that was true at `seen` or later. Says what this copy lacks.
    pub fn hear(&self, statement: Statement, seen: Instant, now: Instant) -> Lack {
        let mut state = self.state();
        if statement.position.era != state.position.era {
            return state.lack(&statement);
        }
        if state.position < statement.since {
            // The peer can't tell what was deleted between the two; another one may.
            let untold = state.confirmed.is_none() || state.age(now) > UNTOLD;
            return if untold { Lack::Changes } else { Lack::Nothing };
        }
        let lack = state.lack(&statement);
        if lack == Lack::Nothing {
            state.servers = state.servers.max(statement.servers);
            if statement.position >= state.position {
                self.confirm(&mut state, statement.position, seen, now);
            }
        }
        lack
    }

    /// What this copy lacks against a peer's statement of which it is not known when it was true.
    pub fn lack(&self, statement: &Statement) -> Lack {
        self.state().lack(statement)
    }

    /// Notes at `now` that the store answered some daemon at `at`.
    pub fn store_answered(&self, at: Instant, now: Instant) {
        self.state().outages.answered(at, now);
    }

    /// Notes that some daemon asked the store in vain at `at`.
    pub fn store_failed(&self, at: Instant) {
        self.state().outages.failed(at);
    }

    /// Whether the store answers no daemon at present, as far as known.
    pub fn store_is_away(&self) -> bool {
        self.state().outages.is_away()
    }

    /// When some daemon last asked the store in vain, as far as known.
    pub fn last_failure(&self) -> Option<Instant> {
        self.state().outages.last_failure()
    }

    /// What a copy at `after` lacks, large values left out.
    pub fn update_after(&self, after: Position, now: Instant) -> Option<Update> {
        self.update(after, SMALL, now)
    }

    /// All that a copy at `after` lacks.
    pub fn all_after(&self, after: Position, now: Instant) -> Option<Update> {
        self.update(after, usize::MAX, now)
    }

    /// What a copy at `after` lacks, of values with up to `most` bytes.
    fn update(&self, after: Position, most: usize, now: Instant) -> Option<Update> {
        let statement = self.statement(now)?;
        let state = self.state();
        let whole = after < state.forgotten;
        // Told apart before any value is copied: a large one may have a megabyte.
        let is_given = |(_, held): &(&Arc<str>, &Held)| held.content.bytes() <= most;
        let (given, left): (Vec<_>, Vec<_>) = match whole {
            true => state.held.iter().partition(is_given),
            false => state.changed_after(after).partition(is_given),
        };
        let cell = |(key, held): (&Arc<str>, &Held)| Cell {
            key: key.to_string(),
            revision: held.revision,
            mattered: held.mattered,
            content: held.content.clone(),
        };
        let cells = given.into_iter().map(cell).collect();
        Some(Update { statement, whole, complete: left.is_empty(), cells })
    }

    /// Takes in what a peer gave, true at `seen` or later.
    pub fn apply(&self, update: Update, seen: Instant, now: Instant) {
        let Statement { position, servers, .. } = update.statement;
        {
            let mut state = self.state();
            if position.era < state.position.era {
                return;
            }
            state.enter_era(position, now);
        }
        if update.whole && update.complete {
            let live = update.cells.into_iter().filter(|cell| !cell.content.is_deleted());
            self.replace_all(live.map(News::from).collect(), position, seen, now);
            return;
        }
        let mut news: Vec<News> = update.cells.into_iter().map(News::from).collect();
        news.sort_by_key(|news| news.revision);
        match update.complete {
            true => self.take_all(news, position, seen, now),
            false => self.take_ahead(news, seen, now),
        }
        if !update.whole {
            let mut state = self.state();
            state.small = state.small.max(position);
            state.servers = state.servers.max(servers);
        }
    }

    /// Takes in all changes of servers' entries and of closed halls up to `position`, as the store stood at
    /// `seen`, ahead of all else.
    pub fn advance_urgent(
        &self,
        changes: Vec<Change>,
        position: Position,
        seen: Instant,
        now: Instant,
    ) {
        self.take_ahead(changes.into_iter().map(News::from).collect(), seen, now);
        let mut state = self.state();
        state.servers = state.servers.max(position);
    }

    /// The position up to which no server's entry and no closed hall is missing.
    pub fn urgent_position(&self) -> Position {
        self.state().servers()
    }

    /// The prefixes of what is read apart from large values.
    pub fn urgent(&self) -> [&str; 3] {
        [self.schema.servers(), self.schema.closed_halls(), self.schema.rollouts()]
    }

    fn take_ahead(&self, news: Vec<News>, seen: Instant, now: Instant) {
        let mut state = self.state();
        for news in news {
            self.take(&mut state, news, seen, now);
        }
        state.news.log();
    }

    /// Takes in some keys before all have been read.
    pub fn take_early(&self, entries: Vec<Entry>, seen: Instant, now: Instant) {
        self.take_ahead(entries.into_iter().map(News::from).collect(), seen, now);
    }

    /// The prefix of the keys of a hall's daemons.
    pub fn daemons_of(&self, hall: &str) -> String {
        format!("{}{hall}/", self.schema.daemons())
    }

    /// Gives up servers whose entries did not come back in time.
    pub fn tick(&self, now: Instant) {
        let mut state = self.state();
        let due: Vec<String> = state
            .missing
            .iter()
            .filter(|(_, at)| now >= **at)
            .map(|(key, _)| key.clone())
            .collect();
        for key in due {
            state.missing.remove(&key);
            self.drop_server(&mut state, &key);
        }
        state.news.log();
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    fn confirm(&self, state: &mut State, position: Position, seen: Instant, now: Instant) {
        state.position = state.position.max(position);
        let late = state.age(now);
        state.confirmed = state.confirmed.max(Some(seen));
        if state.age(now) <= LATE {
            let unheard = state.outages.take_unheard();
            if late > LATE {
                let (late, unheard) = (millis(late), millis(unheard));
                info!(late_ms = late, unheard_ms = unheard; "copy of the store is current again");
            }
        }
        self.gateway.in_force.confirm(self.gateway.in_force.position(), seen);
    }

    fn take(&self, state: &mut State, news: News, seen: Instant, now: Instant) {
        let News { key, revision, content, mattered } = news;
        if !self.is_wanted(&key) {
            return;
        }
        let known = state.held.get(&*key);
        if known.is_some_and(|held| held.revision >= revision) {
            return;
        }
        let is_server = key.starts_with(self.schema.servers());
        // A server's entry is read once, where it comes from the store.
        let (content, read) = match content {
            Content::Value(value) if is_server => match self.schema.server(&key, &value) {
                Ok(record) => (Content::Server(record.clone()), Some(Ok(record))),
                Err(e) => (Content::Value(value), Some(Err(e))),
            },
            Content::Server(record) => (Content::Server(record.clone()), Some(Ok(record))),
            content => (content, None),
        };
        // Between two deletions something was there, which a peer may still have.
        let is_new = known.is_none_or(|known| match (&known.content, &content) {
            (Content::Deleted, Content::Deleted) => true,
            (Content::Value(_), Content::Value(_)) if is_server => false,
            (before, after) => before != after,
        });
        let known = known.map_or(Position::START, |held| held.mattered);
        let mattered = match mattered {
            Some(mattered) => mattered.max(known),
            None if is_new => revision,
            None => known,
        };
        let matters = is_new || mattered > known;
        let value = match &content {
            Content::Value(value) => Some(value.clone()),
            Content::Deleted | Content::Server(_) => None,
        };
        state.hold(&key, Held { revision, mattered, content });
        if !matters {
            return;
        }
        if self.is_urgent(&key) {
            state.server_change = state.server_change.max(mattered);
        }
        match mattered > state.position {
            true => state.ahead = state.ahead.max(mattered),
            false => state.changed = state.changed.max(mattered),
        }
        match read {
            Some(read) => self.take_server(state, &key, read, now),
            None if is_server => self.server_gone(state, &key, now),
            None => self.put_in_force(&key, revision, value, seen, now),
        }
        state.forget_deleted();
        self.gateway.tell_copy();
    }

    fn is_wanted(&self, key: &str) -> bool {
        let schema = &self.schema;
        let prefixes =
            [schema.servers(), schema.daemons(), schema.closed_halls(), schema.quarantine()];
        let prefixes = prefixes.into_iter().chain([schema.rollouts(), schema.rollout_records()]);
        key == schema.declaration() || prefixes.into_iter().any(|prefix| key.starts_with(prefix))
    }

    /// Whether a key is read and told apart from large values: a server's entry, that a hall is closed, or an order
    /// for a roll-out.
    fn is_urgent(&self, key: &str) -> bool {
        self.urgent().iter().any(|prefix| key.starts_with(prefix))
    }
}

/// Whole milliseconds, for log lines.
fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

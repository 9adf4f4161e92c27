//! The gateway: callers' requests, taken as opaque HTTP exchanges, on their way to the backend
//! servers of declared services.
//!
//! - [`request`], [`fingerprint`]: a caller's request and its answer, and how it is known again
//! - [`table`], [`in_force`]: the declared configuration, and how fresh it is
//! - `server`, [`servers`], `reach`, [`outcomes`], [`place`], [`policies`]: backend servers, whether they are
//!   reached, how exchanges with them went, and the choice among them
//! - `halls`, [`cold`], [`regions`]: halls that are closed, servers that bear few requests yet, and the
//!   regions that requests stay in
//! - [`condition`], `remarks`: what servers say of themselves in their answers
//! - [`rollout`]: moving a service to a new version of its servers
//! - [`limit`], `limited`, [`promises`]: servers in need, which name how many requests they take, and callers who were told
//!   to come back to them
//! - [`admission`]: who is let in while engines are crowded
//! - [`core`], [`slot`]: what all requests of a daemon share, and their places at servers
//! - [`forward`], `relay`, `upstream`, [`events`], `moving`: the way of a request, and of a stream over the
//!   servers it lives on
//! - [`budget`]: the daemon's share of repeats
//! - [`quarantine`], [`suspicion`]: requests that end the servers which run them
//! - [`mirror`], [`follow`], [`cluster`]: this daemon's copy of the store, read or heard from peers
//! - [`update`]: what daemons tell and give each other of their copies
//! - [`outage`]: whether the store was away
//! - [`announce`], [`roster`], [`start`]: who else serves, and who reads the store as a fleet starts
//! - [`cell`], [`partner`], [`heartbeat`]: which daemons tell each other what, and how often
//! - [`view`], `sums`, [`clock`]: what was heard, and how old it is
//! - [`health_check`]: notices from servers themselves while the store is away
//! - [`listen`], [`stop`]: connections of callers, and a planned stop
//! - [`tag`]: short names between daemons
//! - [`metrics`]: counters and latencies
//! - [`port`]: what an adapter provides

pub mod admission;
pub mod announce;
pub mod budget;
pub mod cell;
pub mod clock;
pub mod cluster;
pub mod cold;
pub mod condition;
pub mod core;
pub mod events;
pub mod fingerprint;
pub mod follow;
pub mod forward;
mod halls;
pub mod health_check;
pub mod heartbeat;
pub mod in_force;
pub mod limit;
mod limited;
pub mod listen;
pub mod metrics;
pub mod mirror;
mod moving;
pub mod outage;
pub mod outcomes;
pub mod partner;
pub mod place;
pub mod policies;
pub mod port;
pub mod promises;
pub mod quarantine;
mod reach;
pub mod regions;
mod relay;
mod remarks;
pub mod request;
pub mod rollout;
pub mod roster;
mod server;
pub mod servers;
pub mod slot;
pub mod start;
pub mod stop;
mod sums;
pub mod suspicion;
pub mod table;
pub mod tag;
pub mod update;
mod upstream;
pub mod view;

//! The gateway: forwards callers' requests, as opaque HTTP exchanges, to the backend servers of declared
//! services.
//!
//! - [`request`], [`fingerprint`]: a caller's request and its response; recognizing the same request again
//! - [`table`], [`in_force`]: the declared configuration, and how recently it was confirmed
//! - `server`, [`servers`], `reach`, [`outcomes`], [`place`], [`policies`]: backend servers, whether they are
//!   reachable, the results of requests to them, and the choice among them
//! - [`pace`]: the relative latency of servers
//! - `halls`, [`cold`], [`regions`]: closed halls, servers that are still warming up, and the regions that
//!   requests must stay in
//! - [`isolation`]: whether this VM is cut off from all backend servers
//! - [`condition`], `remarks`: what servers say about themselves in their responses
//! - [`rollout`]: rollout of a new version of a service's servers
//! - [`limit`], `limited`, [`promises`]: servers that limit how many requests they accept, and the quota
//!   reserved there for refused callers, who were given a time to retry at
//! - [`hopeless`], [`admission`], `crowded`: which requests are refused because they can't meet their deadline,
//!   and which are admitted while engines are crowded
//! - [`urgency`]: whether a service's engines are short of capacity, and what less urgent requests then leave
//!   to others
//! - [`shares`]: fair shares of a pool's capacity between workspaces
//! - [`returns`], [`refusals`], `returning`: capacity reserved for callers that were refused during a shortage,
//!   and recognizing them when they return
//! - [`core`], [`slot`], `candidates`: the state that all requests of a daemon share, the slots of requests at
//!   servers, and which servers are examined for a request
//! - [`forward`], `relay`, `upstream`, [`events`], `moving`: forwarding requests, relaying event streams, and
//!   moving runs between servers
//! - [`software`], [`continuation`]: the software versions of servers, and at which of them a stream goes on
//! - [`buffers`]: bytes that are buffered for callers and servers
//! - [`budget`], `ended`: the daemon's share of the retry budget, and what ended processes had spent of it
//! - [`quarantine`], [`suspicion`]: requests that crash the servers that run them
//! - [`mirror`], [`follow`], [`cluster`]: this daemon's copy of the store, read from the store or received
//!   from peers
//! - [`update`], [`chunks`]: messages in which daemons exchange changes of their copies, and large values in them
//! - [`outage`], [`behind`]: whether the store was unavailable, and how far this copy is behind
//! - [`announce`], [`roster`], [`start`]: which other daemons exist, and which of them read the store while a
//!   fleet starts
//! - [`cell`], [`partner`], [`heartbeat`]: which daemons exchange which messages, and how often
//! - [`view`], `sums`, [`clock`]: what other daemons reported, and how old it is
//! - [`health_check`]: health checks of servers while the store is unavailable
//! - [`listen`], [`stop`], [`finish`]: callers' connections, graceful shutdown, and which requests a stopping daemon
//!   accepts
//! - [`tag`]: short names in messages between daemons
//! - [`metrics`]: counters and latencies
//! - [`port`]: traits that an adapter implements

pub mod admission;
pub mod announce;
pub mod behind;
pub mod budget;
pub mod buffers;
mod caller_stream;
mod candidates;
pub mod cell;
pub mod chunks;
pub mod clock;
pub mod cluster;
pub mod cold;
pub mod condition;
pub mod continuation;
pub mod core;
mod crowded;
mod ended;
pub mod events;
pub mod fingerprint;
pub mod finish;
pub mod follow;
pub mod forward;
mod halls;
pub mod health_check;
pub mod heartbeat;
pub mod hopeless;
pub mod in_force;
pub mod isolation;
pub mod limit;
mod limited;
pub mod listen;
pub mod metrics;
pub mod mirror;
mod moving;
pub mod outage;
pub mod outcomes;
pub mod pace;
pub mod partner;
pub mod place;
pub mod policies;
pub mod port;
pub mod promises;
pub mod quarantine;
mod reach;
pub mod refusals;
pub mod regions;
mod relay;
mod remarks;
pub mod request;
mod returning;
pub mod returns;
pub mod rollout;
pub mod roster;
mod server;
pub mod servers;
pub mod shares;
pub mod slot;
pub mod software;
pub mod start;
pub mod stop;
mod sums;
pub mod suspicion;
pub mod table;
pub mod tag;
pub mod update;
mod upstream;
pub mod urgency;
pub mod view;

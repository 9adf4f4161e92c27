//! tidestair: a serving system for generations of unknown length on crowded model engines,
//! built as a testbed in which policies are swapped and compared on live traffic.
//!
//! [`daemon::Daemon`] is one daemon put together; `docs/ARCHITECTURE.md` shows the way of a
//! request through the modules.

pub mod adapter;
pub mod admin;
pub mod answer;
pub mod app;
pub mod ask;
pub mod backends;
pub mod caller;
pub mod calls;
pub mod capacity;
pub mod check;
pub mod claim;
pub mod client;
pub mod config;
pub mod daemon;
pub mod deployment;
pub mod engine;
pub mod entries;
pub mod error;
pub mod etcd;
pub mod faults;
pub mod fleet;
pub mod follow;
pub mod forecast;
pub mod gateway;
pub mod gossip;
pub mod grant;
pub mod headroom;
pub mod health;
pub mod journal;
pub mod measure;
pub mod member;
pub mod message;
pub mod metrics;
pub mod operator;
pub mod outcome;
pub mod peer;
pub mod plain;
pub mod platform;
pub mod policy;
pub mod poll;
pub mod pool;
pub mod prompt;
pub mod queue;
pub mod quickstart;
pub mod reader;
pub mod relay;
pub mod replay;
pub mod replica;
pub mod resource;
pub mod seal;
pub mod server;
pub mod show;
pub mod slot;
pub mod snapshot;
pub mod sse;
pub mod standin;
pub mod status;
pub mod tls;
pub mod trace;
pub mod vm;
pub mod watch;
pub mod wire;

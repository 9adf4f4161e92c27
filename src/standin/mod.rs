//! Small stand-ins for the systems outside: model engine, plain service and platform.

pub mod batch;
pub mod body;
pub mod engine;
pub mod events;
pub mod gateway;
pub mod generator;
pub mod kv;
pub mod orders;
pub mod service;
pub mod weights;

//! Small stand-ins for the systems outside: model engine, plain service and platform.

pub mod batch;
pub mod engine;
pub mod gateway;
pub mod generator;
pub mod kv;
pub mod service;

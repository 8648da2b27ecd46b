//! What the replicas that send their heartbeats here keep of prompts, read from `GET /kv-events`.

pub mod cursor;
pub mod reader;

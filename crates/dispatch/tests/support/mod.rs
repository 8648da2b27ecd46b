//! A small fleet for the dispatcher, in simulated time.
#![allow(dead_code)]

use dispatch::{
    Ask, Bounds, Call, Dispatcher, Final, Ms, Next, Outcome, Rules, Salts, Target, Tenant, TenantPolicy,
};
use peer::{ModelVersion, ReplicaRecord, ReplicaState};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use weights::Naming;

/// When tests begin: after the time in which a new process has nothing free.
pub const START: Ms = 100_000.0;

pub const BOUNDS: Bounds =
    Bounds { retry_ratio: 0.2, retry_window: 10_000.0, extra_tries: 40.0, version: 6_000.0, bad_share: 0.1 };

/// A ready replica of service `s` with model `m` at a version.
pub fn record(number: u8, version: u64) -> ReplicaRecord {
    let address = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number), 80);
    let models = vec![ModelVersion { name: "m".into(), version }];
    let mut record = ReplicaRecord::new(&format!("i-{number}"), "s", address.into(), "z").with_models(models);
    (record.beat, record.free_slots) = (1, 4);
    record
}

/// The same replica, later and in another state.
pub fn later(number: u8, version: u64, beat: u64, state: ReplicaState) -> ReplicaRecord {
    let mut record = record(number, version);
    (record.beat, record.state) = (beat, state);
    record
}

/// A dispatcher that knows so many replicas, alone in its fleet.
pub fn dispatcher(replicas: u8) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(BOUNDS, 1 << 20, 7, 0.0);
    dispatcher.set_proxies(1);
    (1..=replicas).for_each(|number| dispatcher.update_replica(record(number, 1)));
    dispatcher
}

pub fn ask(is_idempotent: bool, tries: u32) -> Ask {
    Ask {
        route: 1,
        service: Rc::from("s"),
        rules: Rules { is_idempotent, tries },
        model: None,
        prompt: None,
        tenant: None,
        deadline: START + 5_000.0,
        target: None,
    }
}

/// A request with a prompt.
pub fn prompt(text: &str) -> Ask {
    Ask { model: Some("m".into()), prompt: Some(text.into()), ..ask(false, 2) }
}

/// A request of a tenant that is isolated when it comes, or not.
pub fn of_tenant(mut ask: Ask, name: &str, came_isolated: bool) -> Ask {
    ask.tenant = Some(tenant(name, came_isolated));
    ask
}

pub fn tenant(name: &str, came_isolated: bool) -> Tenant {
    Tenant { name: Rc::from(name), came_isolated }
}

/// Salts under a configuration with these tenants.
pub fn salts(sharing: &[&str], isolated: &[&str]) -> Salts {
    let sharing = sharing.iter().map(|name| TenantPolicy { name, is_isolated: false });
    let isolated = isolated.iter().map(|name| TenantPolicy { name, is_isolated: true });
    Salts::new(sharing.chain(isolated))
}

/// Begins a request and makes its first send.
pub fn sent(dispatcher: &mut Dispatcher, ask: Ask, now: Ms) -> (Call, Target) {
    let mut call = dispatcher.begin(ask, now);
    let target = dispatcher.send(&mut call, now).expect("a replica");
    (call, target)
}

/// Sends a request and has it answered at once.
pub fn answered(dispatcher: &mut Dispatcher, ask: Ask, now: Ms) -> Target {
    let (mut call, target) = sent(dispatcher, ask, now);
    dispatcher.began(&mut call, target.replica, now);
    assert_eq!(dispatcher.ended(&mut call, target.replica, Outcome::Answered, now), Next::Nothing);
    target
}

/// The final answer that follows.
pub fn last(next: Next) -> Final {
    match next {
        Next::GiveUp(last) => last,
        other => panic!("no final answer but {other:?}"),
    }
}

pub const FULL: Outcome = Outcome::Full { retry_after: None };

/// Names a version of model `m`; whether it is news.
pub fn named(dispatcher: &mut Dispatcher, version: u64, at: Ms) -> bool {
    dispatcher.name_version("m", Naming { version, named_at: at as i64 })
}

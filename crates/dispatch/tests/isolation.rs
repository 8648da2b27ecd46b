//! Tenants that become isolated, are released and go while their requests are on their way.
//!
//! Over drawn histories no two tenants' sends have one salt unless both share, at each of these sends and when each of the
//! two requests came. Then neither uses what the other left.

mod support;

use dispatch::{Call, Dispatcher, Ms, Next, Outcome, Salts, Target, Tenant, TenantPolicy};
use quickcheck::{Gen, QuickCheck};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use support::*;

const NAMES: [&str; 4] = ["t1", "t2", "t3", "t4"];
/// Steps of a drawn history.
const STEPS: u32 = 80;
/// Drawn histories.
const HISTORIES: u64 = 300;
/// How a send may end so that another one may follow.
const SETBACKS: [Outcome; 7] = [
    Outcome::Unreached,
    FULL,
    Outcome::Elsewhere,
    Outcome::OtherVersion,
    Outcome::Broken,
    Outcome::Failed,
    Outcome::Outdated,
];

/// What a configuration tells of a tenant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    Shares,
    IsIsolated,
    IsUnknown,
}

/// What a configuration tells of each of [`NAMES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Policies([Policy; NAMES.len()]);

impl Policies {
    fn drawn(random: &mut SmallRng) -> Policies {
        const ALL: [Policy; 4] = [Policy::Shares, Policy::Shares, Policy::IsIsolated, Policy::IsUnknown];
        Policies(std::array::from_fn(|_| ALL[random.random_range(0..ALL.len())]))
    }

    fn salts(&self) -> Salts {
        let known = NAMES.iter().zip(self.0).filter(|(_, policy)| *policy != Policy::IsUnknown);
        Salts::new(
            known.map(|(name, policy)| TenantPolicy { name, is_isolated: policy == Policy::IsIsolated }),
        )
    }

    fn of(&self, tenant: Option<usize>) -> Policy {
        tenant.map_or(Policy::Shares, |place| self.0[place])
    }
}

/// A request on its way.
struct UnderWay {
    tenant: Option<usize>,
    came_under: Policies,
    call: Call,
    target: Target,
}

/// A send that was made.
#[derive(Debug)]
struct Sent {
    tenant: Option<usize>,
    salt: String,
    came_under: Policies,
    sent_under: Policies,
}

impl Sent {
    fn new(request: &UnderWay, sent_under: Policies) -> Sent {
        let salt = request.target.salt.clone().expect("it names a model");
        Sent { tenant: request.tenant, salt, came_under: request.came_under, sent_under }
    }

    fn is_sharing(&self) -> bool {
        self.came_under.of(self.tenant) == Policy::Shares && self.sent_under.of(self.tenant) == Policy::Shares
    }

    /// Whether one of both tenants is isolated where it uses what the other one left, or leaves what the other one uses.
    fn breaks_isolation(&self, other: &Sent) -> bool {
        let is_isolated = |sent: &Sent| {
            [self.tenant, other.tenant].iter().any(|tenant| sent.sent_under.of(*tenant) == Policy::IsIsolated)
        };
        self.salt == other.salt
            && self.tenant != other.tenant
            && (is_isolated(self) || is_isolated(other) || !self.is_sharing() || !other.is_sharing())
    }
}

/// A proxy's requests while configurations change.
struct History {
    dispatcher: Dispatcher,
    in_force: Policies,
    under_way: Vec<UnderWay>,
    sent: Vec<Sent>,
}

impl History {
    fn new() -> History {
        let in_force = Policies([Policy::Shares; NAMES.len()]);
        let mut history =
            History { dispatcher: dispatcher(9), in_force, under_way: Vec::new(), sent: Vec::new() };
        history.configure(in_force);
        history
    }

    fn configure(&mut self, policies: Policies) {
        self.dispatcher.set_salts(policies.salts());
        self.in_force = policies;
    }

    fn request(&mut self, tenant: Option<usize>, now: Ms) {
        let policy = self.in_force.of(tenant);
        // The key of a tenant that is not known is refused.
        if policy == Policy::IsUnknown {
            return;
        }
        let mut ask = prompt("aa:800,b1:60");
        ask.rules = dispatch::Rules { is_idempotent: true, tries: 4 };
        ask.deadline = now + 60_000.0;
        ask.tenant = tenant
            .map(|place| Tenant { name: NAMES[place].into(), came_isolated: policy == Policy::IsIsolated });
        let mut call = self.dispatcher.begin(ask, now);
        let Ok(target) = self.dispatcher.send(&mut call, now) else { return };
        let request = UnderWay { tenant, came_under: self.in_force, call, target };
        self.sent.push(Sent::new(&request, self.in_force));
        self.under_way.push(request);
    }

    /// A send ends, and its request is sent again if it may be.
    fn set_back(&mut self, place: usize, outcome: Outcome, now: Ms) {
        let mut request = self.under_way.swap_remove(place);
        let next = self.dispatcher.ended(&mut request.call, request.target.replica, outcome, now);
        if next != Next::Repeat {
            return;
        }
        let Ok(target) = self.dispatcher.send(&mut request.call, now) else { return };
        request.target = target;
        self.sent.push(Sent::new(&request, self.in_force));
        self.under_way.push(request);
    }

    fn play(random: &mut SmallRng) -> History {
        let mut history = History::new();
        for step in 0..STEPS {
            let now = START + f64::from(step) * 500.0;
            match random.random_range(0..5) {
                0 => history.configure(Policies::drawn(random)),
                1 | 2 => {
                    let place = random.random_range(0..=NAMES.len());
                    history.request((place < NAMES.len()).then_some(place), now);
                }
                _ if !history.under_way.is_empty() => {
                    let place = random.random_range(0..history.under_way.len());
                    let outcome = SETBACKS[random.random_range(0..SETBACKS.len())];
                    history.set_back(place, outcome, now);
                }
                _ => {}
            }
        }
        history
    }
}

fn keeps_isolated_tenants_apart(seed: u64) -> bool {
    let history = History::play(&mut SmallRng::seed_from_u64(seed));
    let sent = &history.sent;
    sent.iter().all(|one| !sent.iter().any(|other| one.breaks_isolation(other)))
}

/// Guards against review case 1 (WALL): sends after the first had the tenant's policy of old and the others' salt of now.
#[test]
fn no_send_uses_or_leaves_what_an_isolated_tenant_may_not_share() {
    let check = keeps_isolated_tenants_apart as fn(u64) -> bool;
    QuickCheck::new().rng(Gen::new(100)).tests(HISTORIES).quickcheck(check);
}

/// Isolation takes nothing from the tenants that share: their sends have the salt of all that share now.
#[test]
fn tenants_that_share_find_what_each_other_left() {
    let shares = |seed: u64| {
        let history = History::play(&mut SmallRng::seed_from_u64(seed));
        let mut sharing = history.sent.iter().filter(|sent| sent.is_sharing());
        sharing.all(|sent| sent.salt == sent.sent_under.salts().salt(1, None))
    };
    QuickCheck::new().rng(Gen::new(100)).tests(HISTORIES).quickcheck(shares as fn(u64) -> bool);
}

/// The drawn histories hold what the checks are about.
#[test]
fn drawn_histories_send_again_under_other_policies() {
    let mut counts = [0; 3];
    for seed in 0..HISTORIES {
        for sent in History::play(&mut SmallRng::seed_from_u64(seed)).sent {
            let (came, now) = (sent.came_under.of(sent.tenant), sent.sent_under.of(sent.tenant));
            counts[0] += u32::from((came, now) == (Policy::Shares, Policy::IsIsolated));
            counts[1] += u32::from((came, now) == (Policy::IsIsolated, Policy::Shares));
            counts[2] += u32::from(now == Policy::IsUnknown);
        }
    }
    assert!(counts.iter().all(|count| *count > 100), "{counts:?}");
}

const SHARED: &str = "1-";

#[rstest]
#[case::shares(false, Policy::Shares, SHARED)]
#[case::becomes_isolated(false, Policy::IsIsolated, "1/t1")]
#[case::goes(false, Policy::IsUnknown, "1/t1")]
#[case::is_released(true, Policy::Shares, "1/t1")]
#[case::stays_isolated(true, Policy::IsIsolated, "1/t1")]
#[case::goes_isolated(true, Policy::IsUnknown, "1/t1")]
fn a_request_shares_if_its_tenant_did_when_it_came_and_does_now(
    #[case] came_isolated: bool,
    #[case] now: Policy,
    #[case] expected: &str,
) {
    let policies = Policies([now, Policy::Shares, Policy::IsIsolated, Policy::Shares]);
    let salt = policies.salts().salt(1, Some(&Tenant { name: "t1".into(), came_isolated }));
    assert!(salt.starts_with(expected), "{salt}");
}

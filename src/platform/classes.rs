//! The classes that requests may name, through the times in which files change them. No I/O.
//!
//! The core and the module know a class by its place in the table. A place keeps its rules while requests that were
//! taken under them may be open; a class whose rules change gets another place.

use crate::interface::{Class, Effect, Ms, Settings};
use crate::settings::{ConfigError, Transport, Tuned};

/// How long a request may come under the rules of a class before or after a change, ms: clients know those after it
/// from 1.2 s on, by a clock that is not ours.
const CHANGE_WINDOW: Ms = 1500.0;
/// How long a class that was dropped is still served, ms: clients learn of it later.
const DROPPED_SERVED: Ms = 2500.0;
/// Pause between looks for places whose time is over, ms.
const LOOK_GAP: Ms = 100.0;

/// One place of the table.
#[derive(Debug, Clone)]
struct Place {
    name: String,
    rules: Class,
    /// Requests that come at this time or later may be taken under it, ...
    from: Ms,
    /// ... and before this time.
    until: Ms,
    /// Its time is over and no request has it: it may be used again.
    is_free: bool,
}

impl Place {
    fn takes(&self, at: Ms) -> bool {
        self.from <= at && at < self.until
    }

    fn is_keyed(&self) -> bool {
        matches!(self.rules.effect, Effect::Keyed(_))
    }

    /// Orders effects by what they forbid: the least forbids most.
    fn leeway(&self) -> Ms {
        match self.rules.effect {
            Effect::Unsafe => 0.0,
            Effect::Keyed(window) => window,
            Effect::Safe => f64::INFINITY,
        }
    }
}

/// Why a request's class can't be told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unclassed {
    /// No class has this name now.
    Unknown,
    /// Requests of this class carry an idempotency key.
    NeedsKey,
}

/// The table of classes, with the settings that go with it.
#[derive(Debug)]
pub struct Classes {
    places: Vec<Place>,
    settings: Settings,
    limits: Transport,
    /// The greater number of attempts that holds once no request is open that came before then.
    raise: Option<(Ms, usize)>,
    has_changed: bool,
    look_at: Ms,
}

impl Classes {
    /// The classes of a start; `names` are those of `settings.classes`, in order.
    pub fn new(names: &[String], settings: Settings, limits: Transport) -> Classes {
        let place = |(name, rules): (&String, &Class)| Place {
            name: name.clone(),
            rules: rules.clone(),
            from: f64::NEG_INFINITY,
            until: f64::INFINITY,
            is_free: false,
        };
        let places = names.iter().zip(&settings.classes).map(place).collect();
        Classes { places, settings, limits, raise: None, has_changed: false, look_at: 0.0 }
    }

    /// The place under which a request is taken that names a class at this time.
    ///
    /// # Errors
    /// Tells why there is none.
    pub fn find(&self, name: &str, at: Ms, has_key: bool) -> Result<usize, Unclassed> {
        let named = self.places.iter().enumerate().filter(|(_, place)| place.name == name && place.takes(at));
        let mut named: Vec<(usize, &Place)> = named.collect();
        if named.is_empty() {
            return Err(Unclassed::Unknown);
        }
        if has_key && named.iter().any(|(_, place)| place.is_keyed()) {
            named.retain(|(_, place)| place.is_keyed());
        } else {
            named.retain(|(_, place)| !place.is_keyed());
        }
        let newest = |place: &Place| -place.from;
        let order = |a: &Place, b: &Place| (a.leeway(), newest(a)).partial_cmp(&(b.leeway(), newest(b)));
        let strictest = named.into_iter().min_by(|a, b| order(a.1, b.1).unwrap_or(std::cmp::Ordering::Equal));
        strictest.map(|(place, _)| place).ok_or(Unclassed::NeedsKey)
    }

    /// The rules of a place.
    pub fn rules(&self, place: usize) -> &Class {
        &self.places[place].rules
    }

    /// The name of a place.
    pub fn name(&self, place: usize) -> &str {
        &self.places[place].name
    }

    /// The names that may be used now.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.places.iter().filter(|place| place.until == f64::INFINITY).map(|place| place.name.as_str())
    }

    /// The longest deadline of a request that may be open.
    pub fn longest_deadline(&self) -> Ms {
        let held = self.places.iter().filter(|place| !place.is_free);
        held.map(|place| place.rules.deadline).fold(0.0, f64::max)
    }

    /// How many shards there are.
    pub fn shards(&self) -> usize {
        self.limits.shards
    }

    /// Checks that settings change nothing that has to stay while the program serves.
    ///
    /// # Errors
    /// Names the field.
    pub fn check(&self, settings: &Settings, limits: &Transport) -> Result<(), ConfigError> {
        let fixed = [
            ("domain.cells", self.settings.cells == settings.cells),
            ("domain.reach", self.settings.reach == settings.reach),
            ("domain.slices", self.limits.shards == limits.shards),
        ];
        let changed = fixed.iter().find(|(_, same)| !same);
        changed.map_or(Ok(()), |(field, _)| Err(ConfigError::Fixed(field)))
    }

    /// Takes in the settings of a file that was judged; `names` are those of `settings.classes`, in order. Tells what
    /// has changed.
    pub fn retune(&mut self, names: &[String], settings: Settings, limits: Transport, now: Ms) -> String {
        let mut told = Vec::new();
        let leaves = |place: &Place| place.until == f64::INFINITY && !names.contains(&place.name);
        for place in self.places.iter_mut().filter(|place| leaves(place)) {
            place.until = now + DROPPED_SERVED;
            told.push(format!("-{}", place.name));
        }
        for (name, rules) in names.iter().zip(&settings.classes) {
            told.extend(self.retune_class(name, rules, now));
        }
        let (before, after) =
            (self.raise.map_or(self.settings.try_limit, |raise| raise.1), settings.try_limit);
        if before != after {
            told.push(format!("attempts {before} -> {after}"));
        }
        let held = self.settings.try_limit.min(after);
        self.raise = (held < after).then_some((now + CHANGE_WINDOW, after));
        self.settings = Settings { try_limit: held, ..settings };
        self.limits = limits;
        self.has_changed = true;
        if told.is_empty() {
            "no class has changed".into()
        } else {
            told.join(", ")
        }
    }

    /// One class of a new file; tells whether that is new or has changed.
    fn retune_class(&mut self, name: &str, rules: &Class, now: Ms) -> Option<String> {
        let same = |place: &&mut Place| place.name == name && place.until > now;
        let known = self.places.iter_mut().filter(same).find(|place| place.rules == *rules);
        let stays =
            known.is_some_and(|place| std::mem::replace(&mut place.until, f64::INFINITY).is_infinite());
        let others = self.places.iter_mut().filter(|place| place.name == name && place.rules != *rules);
        let mut has_others = false;
        for place in others.filter(|place| place.until == f64::INFINITY) {
            place.until = now + CHANGE_WINDOW;
            has_others = true;
        }
        if stays {
            return None;
        }
        let is_there = self.places.iter().any(|place| place.name == name && place.until == f64::INFINITY);
        if !is_there {
            self.add(Place {
                name: name.into(),
                rules: rules.clone(),
                from: now,
                until: f64::INFINITY,
                is_free: false,
            });
        }
        Some(format!("{}{name}", if has_others { "changed " } else { "+" }))
    }

    fn add(&mut self, place: Place) {
        match self.places.iter_mut().find(|place| place.is_free) {
            Some(free) => *free = place,
            None => self.places.push(place),
        }
    }

    /// The settings, where they have changed since they were asked for last. `is_held` tells whether an open request has
    /// a place, and `oldest` when the oldest open request came.
    pub fn changed(
        &mut self,
        now: Ms,
        is_held: impl Fn(usize) -> bool,
        oldest: impl Fn() -> Option<Ms>,
    ) -> Option<Tuned> {
        if now >= self.look_at {
            self.look_at = now + LOOK_GAP;
            for (n, place) in self.places.iter_mut().enumerate() {
                if !place.is_free && place.until <= now && !is_held(n) {
                    // It is worth nothing to whoever compares classes.
                    (place.is_free, place.rules.worth) = (true, 0.0);
                    self.has_changed = true;
                }
            }
            let due = self.raise.filter(|(at, _)| *at <= now && oldest().is_none_or(|oldest| oldest >= *at));
            if let Some((_, try_limit)) = due {
                (self.raise, self.settings.try_limit, self.has_changed) = (None, try_limit, true);
            }
        }
        if !std::mem::take(&mut self.has_changed) {
            return None;
        }
        let classes = self.places.iter().map(|place| place.rules.clone()).collect();
        Some(Tuned { settings: Settings { classes, ..self.settings.clone() }, limits: self.limits })
    }
}

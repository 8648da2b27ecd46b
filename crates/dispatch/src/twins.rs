//! How many requests of a service get a simultaneous twin.

/// The largest part of requests that may get a twin.
pub const MOST_TWINS: f64 = 0.1;
/// Twins that may be saved up while none can be sent.
const MOST_SAVED: f64 = 3.0;

/// Bounds the twins of one service to a part of its requests.
#[derive(Debug, Clone, Copy)]
pub struct Twins {
    part: f64,
    earned: f64,
}

impl Twins {
    /// At most this part of requests gets a twin.
    pub fn new(part: f64) -> Twins {
        Twins { part: part.clamp(0.0, MOST_TWINS), earned: 0.0 }
    }

    /// A request has come.
    pub fn request(&mut self) {
        self.earned = (self.earned + self.part).min(MOST_SAVED);
    }

    /// Whether the part leaves room for one more.
    pub fn may_be_sent(&self) -> bool {
        self.part > 0.0 && self.earned >= 1.0
    }

    /// A twin was sent.
    pub fn sent(&mut self) {
        self.earned -= 1.0;
    }
}

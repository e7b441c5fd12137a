//! The fencing tokens of the orders that a shard's owner sends to one worker.

/// The fencing tokens of the orders to a worker.
///
/// A worker does nothing for a token below the highest that it has seen, but a new incarnation has
/// seen none, and carries out late copies of orders to the former one. So the token rises when the
/// worker may have restarted: once it has answered a poll with a token above those of all earlier
/// orders with a lease, it has begun what it lists, and begins nothing more of them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Fences {
    /// The token of orders from now on.
    current: u64,
    /// The token of the newest poll.
    polled: u64,
    /// The highest token of an order with a lease.
    leased: u64,
    /// Whether orders to a former incarnation may still reach the present one.
    open: bool,
}

impl Fences {
    /// Creates the state of a worker whose orders have the token `current`. Earlier orders with a
    /// lease had tokens of up to `leased`; 0 if there were none.
    pub const fn new(current: u64, leased: u64) -> Self {
        Self {
            current,
            polled: 0,
            leased,
            open: false,
        }
    }

    /// The token of orders from now on.
    pub const fn current(&self) -> u64 {
        self.current
    }

    /// The highest token of an order with a lease; 0 if there was none.
    pub const fn leased(&self) -> u64 {
        self.leased
    }

    /// Raises the token to `newest`, the owner's highest, if it is not above those of all orders
    /// with a lease. Returns whether it was raised.
    ///
    /// ```
    /// use lycheelock::fleet::Fences;
    ///
    /// let mut fences = Fences::new(7, 0);
    /// assert!(!fences.raise(8));
    /// fences.on_lease();
    /// assert!(fences.raise(8));
    /// assert_eq!(fences.current(), 8);
    /// ```
    pub fn raise(&mut self, newest: u64) -> bool {
        let raised = !self.is_above_leases() && self.current < newest;
        if raised {
            self.current = newest;
        }
        raised
    }

    /// Records a poll with the current token. `leases` says whether it renews the leases.
    pub fn on_poll(&mut self, leases: bool) {
        self.polled = self.current;
        if leases {
            self.on_lease();
        }
    }

    /// Records an order with a lease and the current token.
    pub fn on_lease(&mut self) {
        self.leased = self.current;
    }

    /// Whether the answer to the newest poll shows all that earlier orders with a lease have begun
    /// on the incarnation that gave it, or will begin.
    pub const fn is_settled(&self) -> bool {
        self.polled > self.leased
    }

    /// Whether the token is above those of all orders with a lease.
    pub const fn is_above_leases(&self) -> bool {
        self.current > self.leased
    }

    /// Whether orders to a former incarnation may still reach the present one.
    pub const fn is_open(&self) -> bool {
        self.open
    }

    /// Records a restart of the worker. `settled` says whether the new incarnation has given a
    /// settled answer.
    pub const fn on_restart(&mut self, settled: bool) {
        self.open = !settled;
    }

    /// Records a settled answer of the present incarnation. Returns whether orders to a former one
    /// might have reached it until then.
    pub const fn settle(&mut self) -> bool {
        std::mem::replace(&mut self.open, false)
    }
}

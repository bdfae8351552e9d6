//! Fault injection for the calls to one server: delays, refusals, lost responses and network
//! partitions act on a call when it arrives and when its response leaves.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::RwLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use cowslipchute_base::id::Domain;
use tokio::sync::watch;

use crate::fault::Fault;
use crate::fault::Partition;
use crate::fault::State;

/// The network partitions in force.
#[derive(Debug, Default)]
pub struct Cuts {
    any: AtomicBool,
    cuts: RwLock<BTreeSet<Partition>>,
    changed: watch::Sender<()>,
}

impl Cuts {
    /// Starts a network partition between two sides.
    pub fn cut(&self, cut: Partition) {
        self.cuts.write().expect("no lock holder panics").insert(cut.ordered());
        self.any.store(true, Ordering::Release);
        self.changed.send_replace(());
    }

    /// Ends a network partition.
    pub fn heal(&self, cut: Partition) {
        let mut cuts = self.cuts.write().expect("no lock holder panics");
        cuts.remove(&cut.ordered());
        self.any.store(!cuts.is_empty(), Ordering::Release);
        self.changed.send_replace(());
    }

    /// Lists the network partitions in force.
    pub fn list(&self) -> Vec<Partition> {
        self.cuts.read().expect("no lock holder panics").iter().cloned().collect()
    }

    fn is_cut(&self, a: &Domain, b: &Domain) -> bool {
        let cut = Partition { a: a.clone(), b: b.clone() }.ordered();
        self.any.load(Ordering::Acquire)
            && self.cuts.read().expect("no lock holder panics").contains(&cut)
    }
}

/// The reason why a call is not carried out or not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The connection is to be closed without a response.
    Break,
    /// The server responds that it is unavailable, before the call has any effect.
    Down,
}

/// The fault injector of one server.
#[derive(Debug)]
pub struct Injector {
    side: Domain,
    /// Whether a fault is in force, kept in an atomic so that calls to a healthy server take no
    /// lock.
    faulty: AtomicBool,
    fault: Mutex<Fault>,
    changed: watch::Sender<()>,
    /// Incremented when the server is killed. Calls from before are then refused.
    incarnation: AtomicU64,
    responses: AtomicU64,
    cuts: Arc<Cuts>,
}

/// A call to the server.
#[derive(Clone, Debug)]
pub struct Call {
    incarnation: u64,
    from: Option<Domain>,
}

impl Injector {
    /// Opens the injector of a server on a side of possible partitions.
    pub fn open(side: Domain, cuts: Arc<Cuts>) -> Injector {
        Injector {
            side,
            faulty: AtomicBool::new(false),
            fault: Mutex::new(Fault::default()),
            changed: watch::Sender::new(()),
            incarnation: AtomicU64::new(0),
            responses: AtomicU64::new(0),
            cuts,
        }
    }

    /// Sets the fault, replacing the previous one.
    pub fn set(&self, fault: Fault) {
        if fault.state == State::Killed {
            self.incarnation.fetch_add(1, Ordering::AcqRel);
        }
        self.faulty.store(fault != Fault::default(), Ordering::Release);
        *self.fault.lock().expect("no lock holder panics") = fault;
        self.changed.send_replace(());
    }

    /// Returns the fault in force.
    pub fn fault(&self) -> Fault {
        self.fault.lock().expect("no lock holder panics").clone()
    }

    /// Returns `true` if the server has no fault and no network partition is in force anywhere.
    pub fn clear(&self) -> bool {
        !self.faulty.load(Ordering::Acquire) && !self.cuts.any.load(Ordering::Acquire)
    }

    /// Waits until a call may take effect.
    ///
    /// # Errors
    ///
    /// Fails if the call must not take effect.
    pub async fn before_request(&self, from: Option<Domain>) -> Result<Call, Refusal> {
        let call = Call { incarnation: self.incarnation.load(Ordering::Acquire), from };
        if self.clear() {
            return Ok(call);
        }
        self.wait(&call).await?;
        let delay = self.fault().delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
            self.wait(&call).await?;
        }
        match self.fault().state {
            State::Down => Err(Refusal::Down),
            _ => Ok(call),
        }
    }

    /// Waits until the response to a call may be sent.
    ///
    /// # Errors
    ///
    /// Fails if the response is to be lost.
    pub async fn before_response(&self, call: &Call) -> Result<(), Refusal> {
        if self.clear() {
            return Ok(());
        }
        self.wait(call).await?;
        let every = self.fault().lose_answers;
        if every == 0 {
            return Ok(());
        }
        let response = self.responses.fetch_add(1, Ordering::Relaxed) + 1;
        if response.is_multiple_of(every) { Err(Refusal::Break) } else { Ok(()) }
    }

    /// Waits until the next chunk of a streamed response may be sent.
    ///
    /// # Errors
    ///
    /// Fails if the stream is to be broken off.
    pub async fn before_chunk(&self, call: &Call) -> Result<(), Refusal> {
        if self.clear() {
            return Ok(());
        }
        self.wait(call).await?;
        match self.fault().state {
            State::Down => Err(Refusal::Break),
            _ => Ok(()),
        }
    }

    /// Waits while the server is frozen or partitioned from the caller. A message held by a
    /// partition is lost when the partition ends, as on a real network.
    async fn wait(&self, call: &Call) -> Result<(), Refusal> {
        let mut changed = self.changed.subscribe();
        let mut cuts = self.cuts.changed.subscribe();
        let mut lost = false;
        loop {
            changed.mark_unchanged();
            cuts.mark_unchanged();
            if self.incarnation.load(Ordering::Acquire) != call.incarnation {
                return Err(Refusal::Break);
            }
            let cut = self.is_cut_off(call);
            lost |= cut;
            let frozen = self.fault().state == State::Frozen;
            if !cut && !frozen {
                return if lost { Err(Refusal::Break) } else { Ok(()) };
            }
            tokio::select! {
                _ = changed.changed() => {}
                _ = cuts.changed() => {}
            }
        }
    }

    /// Returns `true` if a call's origin is currently partitioned from this server.
    pub fn is_cut_off(&self, call: &Call) -> bool {
        call.from.as_ref().is_some_and(|from| self.cuts.is_cut(from, &self.side))
    }
}

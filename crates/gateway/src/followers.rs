//! Tasks that follow the cached parts of engines and stores, each by long polling its source or another router
//! that reads the source.

use crate::prelude::*;

const LONG_POLL_WAIT: Span = Span::millis(1000);
const CALL_TIMEOUT: Span = Span::millis(2500);
/// The pause between two calls: events accumulate meanwhile, so that a busy source gets few calls a second.
const CALL_INTERVAL: Duration = Duration::from_millis(60);
const ERROR_PAUSE: Duration = Duration::from_millis(700);
/// The pause after a source rejected one more reader, or sent an unreadable response.
const FULL_SOURCE_PAUSE: Duration = Duration::from_secs(5);
const ASSIGNMENT_INTERVAL: Duration = Duration::from_millis(200);
const MAX_RESPONSE_BYTES: usize = 16 << 20;
const SOURCE_USER_TIMEOUT: Span = Span::millis(2000);

/// Follows one source directly.
#[derive(Clone)]
struct SourceFollower {
    source: EngineName,
    address: String,
    scheduler: SchedulerHandle,
    protocol: Arc<dyn Protocol>,
}

/// After this many consecutive errors a router is skipped for `UNRESPONSIVE_TIME`.
const MAX_RELAY_ERRORS: u32 = 3;
const UNRESPONSIVE_TIME: Span = Span::seconds(10);
const RELAY_INTERVAL: Duration = Duration::from_millis(200);
const RELAY_ERROR_PAUSE: Duration = Duration::from_millis(300);

/// Keeps the scheduler's knowledge of cached parts up to date.
pub struct PartFollowers {
    pub node: NodeId,
    pub shared: Arc<SharedState>,
    pub scheduler: SchedulerHandle,
    pub pool: Arc<ConnectionPool>,
    pub protocol: Arc<dyn Protocol>,
}

/// Unresponsive routers, and until when each is skipped.
type UnresponsiveRouters = Arc<Mutex<BTreeMap<NodeId, Instant>>>;

impl PartFollowers {
    /// Starts a task for each source read directly and each router queried, and aborts those no longer needed.
    pub async fn run(self) {
        let mut followers: HashMap<(EngineName, String), tokio::task::JoinHandle<()>> = HashMap::new();
        let mut relays: HashMap<(NodeId, String), tokio::task::JoinHandle<()>> = HashMap::new();
        let unresponsive = UnresponsiveRouters::default();
        let mut current = Assignment::default();
        let mut ticker = tokio::time::interval(ASSIGNMENT_INTERVAL);
        loop {
            ticker.tick().await;
            let assignment = self.assignment(&unresponsive);
            self.close_unlisted_connections();
            if assignment == current {
                continue;
            }
            abort_unwanted(&mut followers, &assignment.direct);
            abort_unwanted(&mut relays, &assignment.relays);
            let direct_sources = assignment.direct.iter().map(|(source, _)| source.clone()).collect();
            self.scheduler.tell(SchedulerCommand::DirectSources(direct_sources));
            for key in &assignment.direct {
                followers.entry(key.clone()).or_insert_with(|| tokio::spawn(self.source_follower(key).follow()));
            }
            for key in &assignment.relays {
                let relay = RelayFollower {
                    router: key.0,
                    address: key.1.clone(),
                    scheduler: self.scheduler.clone(),
                    unresponsive: Arc::clone(&unresponsive),
                };
                relays.entry(key.clone()).or_insert_with(|| tokio::spawn(relay.follow()));
            }
            current = assignment;
        }
    }

    fn assignment(&self, unresponsive: &UnresponsiveRouters) -> Assignment {
        let snapshot = self.shared.snapshot();
        let sources = sources(&snapshot);
        let now = boot_now();
        let mut unresponsive = unresponsive.lock().expect("no holder of this lock panics");
        unresponsive.retain(|_, until| now < *until);
        let unresponsive_routers = unresponsive.keys().copied().collect();
        assign(self.node, &self.shared.routers(), &unresponsive_routers, &sources, readers_per_source(&snapshot))
    }

    /// Closes idle connections to engines that are no longer listed.
    fn close_unlisted_connections(&self) {
        let snapshot = self.shared.snapshot();
        let addresses = snapshot.state.listing.engines.values().map(|listed| listed.address.clone()).collect();
        self.pool.retain_addresses(&addresses);
    }

    fn source_follower(&self, key: &(EngineName, String)) -> SourceFollower {
        let (source, address) = key.clone();
        SourceFollower { source, address, scheduler: self.scheduler.clone(), protocol: Arc::clone(&self.protocol) }
    }
}

fn abort_unwanted<K: Eq + std::hash::Hash + Ord>(
    tasks: &mut HashMap<K, tokio::task::JoinHandle<()>>,
    wanted: &BTreeSet<K>,
) {
    tasks.retain(|key, task| {
        let is_wanted = wanted.contains(key);
        if !is_wanted {
            task.abort();
        }
        is_wanted
    });
}

/// The smallest number of concurrent readers that any source accepts.
fn readers_per_source(snapshot: &FleetSnapshot) -> u64 {
    let services = snapshot.state.desired.services.values();
    let caching_services = services.filter(|service| service.store.is_some() || !service.models.is_empty());
    caching_services.map(|service| service.event_calls).min().unwrap_or_default()
}

/// Follows the sources that another router reads.
struct RelayFollower {
    router: NodeId,
    address: String,
    scheduler: SchedulerHandle,
    unresponsive: UnresponsiveRouters,
}

impl RelayFollower {
    async fn follow(self) {
        let mut query = RelayQuery { incarnation: 0, since: 0 };
        let mut errors = 0;
        loop {
            if let Ok(mut connection) =
                PersistentConnection::open(&self.address, CONNECT_TIMEOUT, SOURCE_USER_TIMEOUT).await
            {
                while let Ok(update) = self.ask(&mut connection, query).await {
                    errors = 0;
                    query = RelayQuery { incarnation: update.incarnation, since: update.next };
                    self.scheduler.tell(SchedulerCommand::RelayUpdate {
                        router: self.router,
                        update,
                        arrived: boot_now(),
                    });
                    tokio::time::sleep(RELAY_INTERVAL).await;
                }
            }
            errors += 1;
            if errors >= MAX_RELAY_ERRORS {
                let mut unresponsive = self.unresponsive.lock().expect("no holder of this lock panics");
                unresponsive.insert(self.router, boot_now() + UNRESPONSIVE_TIME);
            }
            tokio::time::sleep(RELAY_ERROR_PAUSE).await;
        }
    }

    async fn ask(&self, connection: &mut PersistentConnection, query: RelayQuery) -> Result<RelayUpdate, String> {
        let body = rmp_serde::to_vec(&query).map_err(|error| error.to_string())?;
        let mut request = Request::new(Full::new(Bytes::from(body)));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = RELAY_PATH.parse().unwrap_or_default();
        request.headers_mut().insert("host", HeaderValue::from_static("relay"));
        match connection.fetch(request, CALL_TIMEOUT, MAX_RESPONSE_BYTES).await? {
            (StatusCode::OK, _, body) => rmp_serde::from_slice(&body).map_err(|error| error.to_string()),
            (status, _, _) => Err(format!("status {status}")),
        }
    }
}

/// The engines that cache named parts, and the stores.
fn sources(snapshot: &FleetSnapshot) -> BTreeSet<(EngineName, String)> {
    let engines = snapshot.state.listing.engines.iter().filter(|(_, listed)| listed.weights.is_some());
    let mut sources: BTreeSet<(EngineName, String)> =
        engines.map(|(engine, listed)| (engine.clone(), listed.address.clone())).collect();
    for (service, location) in stores(&snapshot.state.desired) {
        sources.insert((store_source(&service), location.address));
    }
    sources
}

impl SourceFollower {
    async fn follow(self) {
        loop {
            let pause = match PersistentConnection::open(&self.address, CONNECT_TIMEOUT, SOURCE_USER_TIMEOUT).await {
                Ok(mut connection) => self.follow_connection(&mut connection).await,
                Err(_) => ERROR_PAUSE,
            };
            self.scheduler.tell(SchedulerCommand::Unreachable { source: self.source.clone() });
            tokio::time::sleep(pause).await;
        }
    }

    /// Polls on one connection until a call fails; returns the pause before the next connection.
    async fn follow_connection(&self, connection: &mut PersistentConnection) -> Duration {
        loop {
            let source = self.source.clone();
            let Some(position) = self.scheduler.ask(|reply| SchedulerCommand::EventPosition { source, reply }).await
            else {
                return ERROR_PAUSE;
            };
            let outcome = match position {
                Some(position) => self.follow_events(connection, position).await,
                None => self.fetch_parts_list(connection).await,
            };
            match outcome {
                Ok(()) => tokio::time::sleep(CALL_INTERVAL).await,
                Err(pause) => return pause,
            }
        }
    }

    async fn follow_events(
        &self,
        connection: &mut PersistentConnection,
        position: SourcePosition,
    ) -> Result<(), Duration> {
        let request = self.protocol.events_request(position.next, LONG_POLL_WAIT);
        let body = self.ask(connection, request).await?;
        let part_events = self.protocol.read_events(&body).map_err(|reason| self.log_unreadable(&reason))?;
        let batch = PartBatch {
            epoch: part_events.epoch,
            next: part_events.next,
            lost: part_events.is_lost,
            events: part_events.events,
        };
        self.scheduler.tell(SchedulerCommand::ApplyEvents {
            source: self.source.clone(),
            batch,
            received: boot_now(),
        });
        Ok(())
    }

    async fn fetch_parts_list(&self, connection: &mut PersistentConnection) -> Result<(), Duration> {
        let received = boot_now();
        let body = self.ask(connection, self.protocol.parts_request()).await?;
        let list = self.protocol.read_parts_list(&body).map_err(|reason| self.log_unreadable(&reason))?;
        self.scheduler.tell(SchedulerCommand::ApplyList { source: self.source.clone(), list, received });
        Ok(())
    }

    async fn ask(
        &self,
        connection: &mut PersistentConnection,
        request: Request<Full<Bytes>>,
    ) -> Result<Bytes, Duration> {
        match connection.fetch(request, CALL_TIMEOUT, MAX_RESPONSE_BYTES).await {
            Ok((StatusCode::OK, _, body)) => Ok(body),
            Ok((StatusCode::TOO_MANY_REQUESTS, _, _)) => Err(FULL_SOURCE_PAUSE),
            Ok(_) | Err(_) => Err(ERROR_PAUSE),
        }
    }

    fn log_unreadable(&self, reason: &str) -> Duration {
        event!(warn, "news_unreadable", source = self.source, reason = reason);
        FULL_SOURCE_PAUSE
    }
}

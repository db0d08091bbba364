//! Followers: for each engine and store a task that asks for its news of kept parts, each call held by the
//! source for as long as there is none.

use crate::prelude::*;

const HELD_CALL: Span = Span::millis(1000);
const CALL_LIMIT: Span = Span::millis(2500);
/// Between two calls news gather, so that a busy source is asked a few times a second.
const CALL_SPACING: Duration = Duration::from_millis(60);
const FAULT_PAUSE: Duration = Duration::from_millis(700);
/// A source that has no room for one more follower is asked again after this.
const CROWDED_PAUSE: Duration = Duration::from_secs(5);
const LOOK_EVERY: Duration = Duration::from_millis(200);
const MOST_BYTES: usize = 16 << 20;
const SOURCE_USER_TIMEOUT: Span = Span::millis(2000);

/// What a follower needs.
#[derive(Clone)]
struct Follower {
    source: EngineName,
    address: String,
    table: TableHandle,
    protocol: Arc<dyn Protocol>,
}

/// A router that failed so often in a row is passed over for a while.
const MOST_RELAY_FAULTS: u32 = 3;
const SILENT_SPAN: Span = Span::seconds(10);
const RELAY_SPACING: Duration = Duration::from_millis(200);
const RELAY_FAULT_PAUSE: Duration = Duration::from_millis(300);

/// Keeps this router's knowledge of kept parts up to date.
pub struct Following {
    pub node: NodeId,
    pub shared: Arc<SharedState>,
    pub table: TableHandle,
    pub pool: Arc<ConnectionPool>,
    pub protocol: Arc<dyn Protocol>,
}

/// Routers that do not answer, and until when they are passed over.
type SilentRouters = Arc<Mutex<BTreeMap<NodeId, Instant>>>;

impl Following {
    /// Starts a follower for each source read here and each router that is asked, and ends those that are
    /// needed no more.
    pub async fn keep(self) {
        let mut followers: HashMap<(EngineName, String), tokio::task::JoinHandle<()>> = HashMap::new();
        let mut relays: HashMap<(NodeId, String), tokio::task::JoinHandle<()>> = HashMap::new();
        let silent = SilentRouters::default();
        let mut known = Assignment::default();
        let mut pulse = tokio::time::interval(LOOK_EVERY);
        loop {
            pulse.tick().await;
            let assignment = self.assignment(&silent);
            self.forget_connections();
            if assignment == known {
                continue;
            }
            end_missing(&mut followers, &assignment.direct);
            end_missing(&mut relays, &assignment.relays);
            let read_here = assignment.direct.iter().map(|(source, _)| source.clone()).collect();
            self.table.tell(TableCommand::ReadHere(read_here));
            for naming in &assignment.direct {
                followers.entry(naming.clone()).or_insert_with(|| tokio::spawn(self.follower(naming).follow()));
            }
            for naming in &assignment.relays {
                let relay = RelayFollower {
                    router: naming.0,
                    address: naming.1.clone(),
                    table: self.table.clone(),
                    silent: Arc::clone(&silent),
                };
                relays.entry(naming.clone()).or_insert_with(|| tokio::spawn(relay.follow()));
            }
            known = assignment;
        }
    }

    fn assignment(&self, silent: &SilentRouters) -> Assignment {
        let sight = self.shared.snapshot();
        let sources = sources(&sight);
        let now = boot_now();
        let mut silent = silent.lock().expect("no holder of this lock panics");
        silent.retain(|_, until| now < *until);
        let silent_routers = silent.keys().copied().collect();
        assign(self.node, &self.shared.routers(), &silent_routers, &sources, readers_per_source(&sight))
    }

    /// Connections to engines that are not listed any more are closed.
    fn forget_connections(&self) {
        let sight = self.shared.snapshot();
        let addresses = sight.state.listing.engines.values().map(|listed| listed.address.clone()).collect();
        self.pool.keep_only(&addresses);
    }

    fn follower(&self, naming: &(EngineName, String)) -> Follower {
        let (source, address) = naming.clone();
        Follower { source, address, table: self.table.clone(), protocol: Arc::clone(&self.protocol) }
    }
}

fn end_missing<K: Eq + std::hash::Hash + Ord>(
    tasks: &mut HashMap<K, tokio::task::JoinHandle<()>>,
    wanted: &BTreeSet<K>,
) {
    tasks.retain(|naming, task| {
        let stays = wanted.contains(naming);
        if !stays {
            task.abort();
        }
        stays
    });
}

/// How many readers the source bears that bears the fewest.
fn readers_per_source(sight: &FleetSnapshot) -> u64 {
    let services = sight.state.desired.services.values();
    let kept_parts = services.filter(|service| service.store.is_some() || !service.models.is_empty());
    kept_parts.map(|service| service.event_calls).min().unwrap_or_default()
}

/// Asks another router for what it reads.
struct RelayFollower {
    router: NodeId,
    address: String,
    table: TableHandle,
    silent: SilentRouters,
}

impl RelayFollower {
    async fn follow(self) {
        let mut question = RelayQuestion { life: 0, since: 0 };
        let mut faults = 0;
        loop {
            if let Ok(mut connection) =
                PersistentConnection::open(&self.address, CONNECT_LIMIT, SOURCE_USER_TIMEOUT).await
            {
                while let Ok(news) = self.ask(&mut connection, question).await {
                    faults = 0;
                    question = RelayQuestion { life: news.life, since: news.next };
                    self.table.tell(TableCommand::Relayed { router: self.router, news, arrived: boot_now() });
                    tokio::time::sleep(RELAY_SPACING).await;
                }
            }
            faults += 1;
            if faults >= MOST_RELAY_FAULTS {
                let mut silent = self.silent.lock().expect("no holder of this lock panics");
                silent.insert(self.router, boot_now() + SILENT_SPAN);
            }
            tokio::time::sleep(RELAY_FAULT_PAUSE).await;
        }
    }

    async fn ask(&self, connection: &mut PersistentConnection, question: RelayQuestion) -> Result<RelayNews, String> {
        let body = rmp_serde::to_vec(&question).map_err(|fault| fault.to_string())?;
        let mut request = Request::new(Full::new(Bytes::from(body)));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = RELAY_PAGE.parse().unwrap_or_default();
        request.headers_mut().insert("host", HeaderValue::from_static("relay"));
        match connection.fetch(request, CALL_LIMIT, MOST_BYTES).await? {
            (StatusCode::OK, _, body) => rmp_serde::from_slice(&body).map_err(|fault| fault.to_string()),
            (status, _, _) => Err(format!("status {status}")),
        }
    }
}

/// Engines that keep named parts, and stores.
fn sources(sight: &FleetSnapshot) -> BTreeSet<(EngineName, String)> {
    let engines = sight.state.listing.engines.iter().filter(|(_, listed)| listed.weights.is_some());
    let mut sources: BTreeSet<(EngineName, String)> =
        engines.map(|(engine, listed)| (engine.clone(), listed.address.clone())).collect();
    for (service, place) in stores(&sight.state.desired) {
        sources.insert((store_source(&service), place.address));
    }
    sources
}

impl Follower {
    async fn follow(self) {
        loop {
            let pause = match PersistentConnection::open(&self.address, CONNECT_LIMIT, SOURCE_USER_TIMEOUT).await {
                Ok(mut connection) => self.follow_on(&mut connection).await,
                Err(_) => FAULT_PAUSE,
            };
            self.table.tell(TableCommand::Unheard { source: self.source.clone() });
            tokio::time::sleep(pause).await;
        }
    }

    /// Asks again and again on one connection; when that fails, tells how long to wait.
    async fn follow_on(&self, connection: &mut PersistentConnection) -> Duration {
        loop {
            let source = self.source.clone();
            let Some(position) = self.table.ask(|reply| TableCommand::Position { source, reply }).await else {
                return FAULT_PAUSE;
            };
            let asked = match position {
                Some(position) => self.ask_news(connection, position).await,
                None => self.ask_list(connection).await,
            };
            match asked {
                Ok(()) => tokio::time::sleep(CALL_SPACING).await,
                Err(pause) => return pause,
            }
        }
    }

    async fn ask_news(
        &self,
        connection: &mut PersistentConnection,
        position: SourcePosition,
    ) -> Result<(), Duration> {
        let request = self.protocol.ask_news(position.next, HELD_CALL);
        let body = self.ask(connection, request).await?;
        let news = self.protocol.read_news(&body).map_err(|reason| self.note_unreadable(&reason))?;
        let batch = PartBatch { epoch: news.epoch, next: news.next, lost: news.is_lost, events: news.events };
        self.table.tell(TableCommand::News { source: self.source.clone(), batch, heard: boot_now() });
        Ok(())
    }

    async fn ask_list(&self, connection: &mut PersistentConnection) -> Result<(), Duration> {
        let heard = boot_now();
        let body = self.ask(connection, self.protocol.ask_list()).await?;
        let list = self.protocol.read_list(&body).map_err(|reason| self.note_unreadable(&reason))?;
        self.table.tell(TableCommand::List { source: self.source.clone(), list, heard });
        Ok(())
    }

    async fn ask(
        &self,
        connection: &mut PersistentConnection,
        request: Request<Full<Bytes>>,
    ) -> Result<Bytes, Duration> {
        match connection.fetch(request, CALL_LIMIT, MOST_BYTES).await {
            Ok((StatusCode::OK, _, body)) => Ok(body),
            Ok((StatusCode::TOO_MANY_REQUESTS, _, _)) => Err(CROWDED_PAUSE),
            Ok(_) | Err(_) => Err(FAULT_PAUSE),
        }
    }

    fn note_unreadable(&self, reason: &str) -> Duration {
        event!(warn, "news_unreadable", source = self.source, reason = reason);
        CROWDED_PAUSE
    }
}

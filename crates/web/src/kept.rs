//! A connection that is kept for request after request, one at a time. Each request passes a gate in the
//! call that writes its first byte, so that a failure tells whether a byte of it can have left.

use crate::prelude::*;

/// An open connection to one address.
pub struct PersistentConnection {
    sender: hyper::client::conn::http1::SendRequest<Full<Bytes>>,
    driver: tokio::task::AbortHandle,
    cell: Arc<GateCell>,
}

impl Drop for PersistentConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl PersistentConnection {
    /// Connects within a limit; unacknowledged bytes end the connection after `user_timeout`.
    pub async fn open(address: &str, limit: Span, user_timeout: Span) -> Result<PersistentConnection, String> {
        let socket_address: std::net::SocketAddr = address.parse().map_err(|_| format!("{address} is no address"))?;
        let connecting = TcpStream::connect(socket_address);
        let stream = match tokio::time::timeout(limit.as_duration(), connecting).await {
            Ok(outcome) => outcome.map_err(|fault| fault.to_string())?,
            Err(_) => return Err("connect limit passed".into()),
        };
        let _ = stream.set_nodelay(true);
        set_user_timeout(&stream, user_timeout);
        let cell = Arc::new(GateCell::default());
        let gated_stream = GatedStream::new(stream, Arc::clone(&cell));
        let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(gated_stream))
            .await
            .map_err(|fault| fault.to_string())?;
        let driver = tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(PersistentConnection { sender, driver: driver.abort_handle(), cell })
    }

    /// Whether another request may be sent now: the one before has ended cleanly.
    pub fn is_free(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends a request if the gate, asked at its first write, lets it pass.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        gate: SendGate,
    ) -> Result<Response<Incoming>, SendFault> {
        self.cell.arm(gate);
        match self.sender.send_request(request).await {
            Ok(response) => Ok(response),
            Err(fault) => Err(self.cell.fault(fault.to_string())),
        }
    }

    /// Asks and reads the answer whole, within one limit.
    pub async fn fetch(
        &mut self,
        request: Request<Full<Bytes>>,
        limit: Span,
        most_bytes: usize,
    ) -> Result<(StatusCode, HeaderMap, Bytes), String> {
        let whole_call = async {
            self.sender.ready().await.map_err(|fault| fault.to_string())?;
            let response = self.sender.send_request(request).await.map_err(|fault| fault.to_string())?;
            let (parts, body) = response.into_parts();
            let bytes =
                read_whole(body, most_bytes, limit.as_duration()).await.map_err(|fault| format!("{fault:?}"))?;
            Ok((parts.status, parts.headers, bytes))
        };
        tokio::time::timeout(limit.as_duration(), whole_call).await.unwrap_or_else(|_| Err("limit passed".into()))
    }
}

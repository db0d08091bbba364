//! A persistent connection that carries one request at a time. Each request passes a gate in the call that writes
//! its first byte, so that a failure tells whether any byte of it may have been sent.

use crate::prelude::*;

/// An open connection to one address.
pub struct PersistentConnection {
    sender: hyper::client::conn::http1::SendRequest<Full<Bytes>>,
    connection_task: tokio::task::AbortHandle,
    cell: Arc<GateCell>,
}

impl Drop for PersistentConnection {
    fn drop(&mut self) {
        self.connection_task.abort();
    }
}

impl PersistentConnection {
    /// Connects within a time limit. Bytes unacknowledged for `user_timeout` close the connection.
    pub async fn open(address: &str, limit: Span, user_timeout: Span) -> Result<PersistentConnection, String> {
        let socket_address: std::net::SocketAddr =
            address.parse().map_err(|_| format!("{address} is not an IP address and port"))?;
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
        let connection_task = tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(PersistentConnection { sender, connection_task: connection_task.abort_handle(), cell })
    }

    /// Whether another request may be sent now, because the previous one ended cleanly.
    pub fn is_free(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends a request if the gate, run at its first write, allows it.
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

    /// Sends a request and reads the whole response, within one time limit.
    pub async fn fetch(
        &mut self,
        request: Request<Full<Bytes>>,
        limit: Span,
        max_bytes: usize,
    ) -> Result<(StatusCode, HeaderMap, Bytes), String> {
        let whole_call = async {
            self.sender.ready().await.map_err(|fault| fault.to_string())?;
            let response = self.sender.send_request(request).await.map_err(|fault| fault.to_string())?;
            let (parts, body) = response.into_parts();
            let bytes =
                read_whole(body, max_bytes, limit.as_duration()).await.map_err(|fault| format!("{fault:?}"))?;
            Ok((parts.status, parts.headers, bytes))
        };
        tokio::time::timeout(limit.as_duration(), whole_call).await.unwrap_or_else(|_| Err("limit passed".into()))
    }
}

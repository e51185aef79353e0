//! Control plane of the agent: configuration, heartbeats, control calls and commands to the engine.

mod agent_view;
mod control_event;
mod control_server;
mod control_thread;
mod heartbeat_loop;

pub(crate) use agent_view::AgentView;
pub(crate) use control_server::serve;
pub(crate) use control_thread::ControlThread;
pub(crate) use heartbeat_loop::heartbeat_loop;

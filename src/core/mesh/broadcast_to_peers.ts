/** Sends messages that concern every peer over the open links. */
import {MeshState} from './mesh_state.js';
import {MeshEmit, PeerMessage} from './mesh_types.js';

/** Sends a message to each proxy with an open link. */
export function broadcastToPeers(
  {peers}: MeshState,
  message: PeerMessage,
  emit: MeshEmit,
): void {
  for (const to of peers.keys()) {
    emit({kind: 'sendMessage', to, message});
  }
}

// Exports the parts of undici that the bundle needs. Its main module also loads
// fetch, WebSocket and caches, which cost memory and startup time.
module.exports = {
  Pool: require('undici/lib/dispatcher/pool.js'),
  Client: require('undici/lib/dispatcher/client.js'),
  buildConnector: require('undici/lib/core/connect.js'),
};

// What the bundle needs of undici. Its index also loads fetch, WebSocket and
// caches, which cost a proxy memory and time at each start.
module.exports = {
  Pool: require('undici/lib/dispatcher/pool.js'),
  Client: require('undici/lib/dispatcher/client.js'),
  buildConnector: require('undici/lib/core/connect.js'),
};

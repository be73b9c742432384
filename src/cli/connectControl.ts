/** Creates the operators' client from a settings file. */

import {loadClientSettings} from '../settings/loadSettings';
import type {ControlClient} from './controlClient';
import {RpcControlClient} from './rpcControlClient';

/** Creates a client for the control instances listed in the settings file. */
export function connectControl(settingsFile: string): ControlClient {
  return new RpcControlClient(loadClientSettings(settingsFile));
}

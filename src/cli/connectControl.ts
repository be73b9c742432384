/** Connects the operators' client to the deployment of its settings. */

import {loadClientSettings} from '../settings/loadSettings';
import type {ControlClient} from './controlClient';
import {RpcControlClient} from './rpcControlClient';

/** A client of the control instances named in the settings file. */
export function connectControl(settingsFile: string): ControlClient {
  return new RpcControlClient(loadClientSettings(settingsFile));
}

/** Key of a part of prompts at a service. */

/** A part at a service. */
export interface ServicePart {
  readonly service: string;
  readonly part: string;
}

/** Unique for each part at each service; neither name has a line break. */
export function partKey({service, part}: ServicePart): string {
  return `${service}\n${part}`;
}

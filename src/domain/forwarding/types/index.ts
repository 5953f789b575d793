export type { EngineTraits, ForwardedService } from './ForwardedService';
export type { ForwardedRequest, PromptPart, RequestHead, TokenSizes } from './ForwardedRequest';
export type { ForwardingLimits } from './ForwardingLimits';
export type { GatewayBounds, GatewaySettings, SettingsProblem } from './GatewaySettings';
export { RouteKind, type Route, type RouteTarget } from './Route';
export type { KeyHolder, RouteTable } from './RouteTable';
export type { AnswerHead, ServerLoad } from './ServerAnswer';
export type { ServerEntry } from './ServerEntry';
export type { ServerStatus } from './ServerStatus';
